"""Tests of the frontend package."""
