"""One module for each command of burdocksill-lab."""
