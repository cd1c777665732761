"""Membership: which entry VMs are alive in a failure domain."""
