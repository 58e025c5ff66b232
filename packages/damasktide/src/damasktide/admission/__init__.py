"""Checks requests against the accepted lists and defines every refusal."""
