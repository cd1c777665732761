"""Caller library and the program burdocksill-call."""
