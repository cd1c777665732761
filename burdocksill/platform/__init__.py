"""Client of the platform service: keys, leases, watches and the VM list."""
