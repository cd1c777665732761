"""Stand-ins of the platform, upstreams and the fabric."""
