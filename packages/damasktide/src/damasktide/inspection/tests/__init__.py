"""Tests of the inspection package."""
