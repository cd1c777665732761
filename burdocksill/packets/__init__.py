"""The packet path: choose an upstream for each new flow, then follow it."""
