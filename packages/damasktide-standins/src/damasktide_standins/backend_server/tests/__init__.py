"""Tests of the stand-in for a backend server."""
