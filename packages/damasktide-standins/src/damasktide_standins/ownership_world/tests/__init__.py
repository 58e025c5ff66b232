"""Tests of the ownership decisions in the world."""
