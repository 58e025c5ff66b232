"""Tests of the frontend slice."""
