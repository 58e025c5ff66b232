"""Tests of :mod:`damasktide.routing`."""
