"""Tests of the idempotency slice."""
