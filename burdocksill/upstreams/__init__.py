"""Upstreams: connections, limits, health and drain."""
