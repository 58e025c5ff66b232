"""Tests of the keyspace slice."""
