"""Chooses the target of a request."""
