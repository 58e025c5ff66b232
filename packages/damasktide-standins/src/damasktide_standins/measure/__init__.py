"""Measures a local deployment and the cost of its parts."""
