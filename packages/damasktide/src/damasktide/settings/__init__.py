"""Reads and checks the settings of an instance."""
