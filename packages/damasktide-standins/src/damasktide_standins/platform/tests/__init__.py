"""Tests of the stand-in for the platform."""
