"""Tests of damasktidectl."""
