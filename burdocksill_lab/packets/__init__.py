"""The packet path in a small world: clients, upstreams, routers, a store."""
