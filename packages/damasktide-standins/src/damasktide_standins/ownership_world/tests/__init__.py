"""Tests of the ownership state machine in the simulation."""
