"""Tests of the targets slice."""
