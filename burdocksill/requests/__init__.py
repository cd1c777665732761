"""Requests: codec, verdicts, the at-most-once window."""
