"""Tests of the assembly."""
