"""Tests of the balancing slice."""
