"""Tests of :mod:`damasktide.capacity`."""
