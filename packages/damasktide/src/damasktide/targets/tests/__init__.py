"""Tests of the directory of targets."""
