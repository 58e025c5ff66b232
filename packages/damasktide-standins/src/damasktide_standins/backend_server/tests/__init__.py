"""Tests of the stand-in backend server."""
