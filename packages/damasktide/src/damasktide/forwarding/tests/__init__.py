"""Tests of the forwarding slice."""
