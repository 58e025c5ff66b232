"""Rows of the platform's store: reading, conditional writing and following changes."""
