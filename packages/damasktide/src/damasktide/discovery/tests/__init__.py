"""Tests of the discovery slice."""
