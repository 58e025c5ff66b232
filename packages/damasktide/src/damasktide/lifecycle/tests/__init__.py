"""Tests of the lifecycle slice."""
