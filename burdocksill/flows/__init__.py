"""Flows: cookies, keys and placement."""
