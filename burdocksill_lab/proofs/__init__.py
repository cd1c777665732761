"""One module for each of the ten promises, named as in the catalog."""
