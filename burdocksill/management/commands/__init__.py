"""Operators' commands, one module each."""
