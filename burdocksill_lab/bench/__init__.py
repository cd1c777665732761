"""Measure real entry processes on loopback."""
