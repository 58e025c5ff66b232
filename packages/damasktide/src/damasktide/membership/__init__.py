"""Tracks which instances are live."""
