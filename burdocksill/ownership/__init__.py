"""Ownership of upstreams by entry VMs, and its handover."""
