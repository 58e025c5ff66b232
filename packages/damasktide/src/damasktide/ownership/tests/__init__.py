"""Tests of the ownership slice."""
