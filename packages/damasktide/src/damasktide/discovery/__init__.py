"""Follows the platform's list of live backend servers."""
