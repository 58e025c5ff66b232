"""Deterministic world in which the ownership decisions run under faults."""
