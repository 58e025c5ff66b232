"""Logs and counters."""
