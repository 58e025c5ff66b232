"""Tests of :mod:`damasktide.dispatch`."""
