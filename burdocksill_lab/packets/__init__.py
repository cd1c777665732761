"""Simulation of the packet path: clients, upstreams, routers and a store."""
