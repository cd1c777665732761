"""Datagrams between entry VMs: envelope, authentication, dispatch."""
