"""Tests of the settings slice."""
