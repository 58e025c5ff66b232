"""Computes the cost of each role at the design size from the measured lines."""
