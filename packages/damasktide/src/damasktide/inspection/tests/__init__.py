"""Tests of the inspection slice."""
