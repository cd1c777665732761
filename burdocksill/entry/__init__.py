"""The entry VM: listener, router, relay and composition."""
