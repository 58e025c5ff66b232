"""Tests of the gateway slice."""
