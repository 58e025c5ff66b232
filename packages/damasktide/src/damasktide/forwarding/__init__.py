"""Sends requests to targets and returns whole responses."""
