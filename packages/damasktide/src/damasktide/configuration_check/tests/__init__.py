"""Tests of :mod:`damasktide.configuration_check`."""
