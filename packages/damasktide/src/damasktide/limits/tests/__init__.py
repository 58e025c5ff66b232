"""Tests of the limits package."""
