"""Sends requests to targets and returns complete responses."""
