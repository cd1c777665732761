"""Deployments of today's sizes under load and faults, on the fakes."""
