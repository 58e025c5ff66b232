"""Tests of the loads slice."""
