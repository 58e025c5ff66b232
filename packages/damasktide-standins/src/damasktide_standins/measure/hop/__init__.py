"""Throughput and added latency of the router against a bare hop."""
