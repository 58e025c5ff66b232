"""Tests of the runtime slice."""
