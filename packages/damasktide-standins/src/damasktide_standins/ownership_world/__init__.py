"""Deterministic simulation that runs the ownership state machine under injected faults."""
