"""Tests of the rows slice."""
