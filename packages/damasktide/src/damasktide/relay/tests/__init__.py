"""Tests of :mod:`damasktide.relay`."""
