"""Tests of the telemetry slice."""
