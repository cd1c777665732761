"""Sockets, HTTP, addresses and clocks, with interfaces for tests."""
