"""Costs of pure parts in one process, as functions of a size."""
