"""Tests of the process faults."""
