"""Checks of an operators' configuration before it is sent."""
