"""Fakes at the interfaces: network, clock, and a small world of nodes."""
