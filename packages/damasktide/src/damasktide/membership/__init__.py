"""Membership: tracks which instances are live."""
