"""Tests of the assembly slice."""
