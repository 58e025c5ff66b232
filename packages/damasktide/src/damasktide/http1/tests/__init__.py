"""Tests of the HTTP/1.1 slice."""
