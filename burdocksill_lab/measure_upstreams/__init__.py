"""Measurements of limits, placement and retries at the users' sizes."""
