"""Tests of the stand-in of the platform."""
