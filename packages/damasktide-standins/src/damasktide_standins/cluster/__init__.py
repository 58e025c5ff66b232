"""Starts a small deployment as separate processes on the loopback interface."""
