"""Metrics, traces, logs and the record of recent decisions."""
