"""Builds an instance from its settings and runs it."""
