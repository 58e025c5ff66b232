"""Faults of real processes under load, checked by an independent observer."""
