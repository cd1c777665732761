"""Randomized soak test of the real programs with external fault injection."""
