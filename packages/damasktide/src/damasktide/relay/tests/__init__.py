"""Tests of the relay slice."""
