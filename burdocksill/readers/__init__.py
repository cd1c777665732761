"""How nodes share the reading of the platform's store."""
