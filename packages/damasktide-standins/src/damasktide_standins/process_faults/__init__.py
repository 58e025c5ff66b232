"""Fault scenarios for real processes under load, checked by an independent observer."""
