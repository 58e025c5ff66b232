"""Learned speed and concurrency limit of each target, shared between instances."""
