"""Settings from flags and environment, and their checks."""
