"""Development tools of this repository."""
