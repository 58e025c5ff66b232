"""Reads and validates the settings of an instance."""
