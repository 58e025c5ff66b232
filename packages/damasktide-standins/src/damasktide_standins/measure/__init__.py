"""Measures local deployments and the cost of individual components."""
