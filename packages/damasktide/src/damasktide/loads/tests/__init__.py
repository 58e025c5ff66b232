"""Tests of :mod:`damasktide.loads`."""
