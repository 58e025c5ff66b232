"""Tests of reading and following tables of the store."""
