"""Polls the platform's live list and combines it with membership into the topology."""
