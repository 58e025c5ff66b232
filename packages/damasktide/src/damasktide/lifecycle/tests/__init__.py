"""Tests of the lifecycle package."""
