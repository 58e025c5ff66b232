"""Tests of the limits slice."""
