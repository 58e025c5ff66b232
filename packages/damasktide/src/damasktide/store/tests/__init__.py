"""Tests of the store slice."""
