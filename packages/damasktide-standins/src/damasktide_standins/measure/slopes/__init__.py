"""Microbenchmarks: cost of components without I/O as a function of a size."""
