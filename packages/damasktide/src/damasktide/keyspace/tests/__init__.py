"""Tests of the key assignment."""
