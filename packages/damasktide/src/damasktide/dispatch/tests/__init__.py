"""Tests of the dispatch slice."""
