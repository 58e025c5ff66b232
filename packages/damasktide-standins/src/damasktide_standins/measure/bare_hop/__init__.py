"""Bare hop, the baseline for the router: a plain Bottle application that forwards with urllib3."""
