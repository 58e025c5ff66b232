"""Tests of the forwarding package."""
