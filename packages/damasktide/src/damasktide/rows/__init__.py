"""Rows of the platform's store: reading, conditional writes and following changes."""
