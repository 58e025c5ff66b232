"""Computes the cost of each role at the design size from lines fitted to benchmarks."""
