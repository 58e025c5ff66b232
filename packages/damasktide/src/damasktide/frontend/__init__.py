"""HTTP front end for callers, operators and the platform."""
