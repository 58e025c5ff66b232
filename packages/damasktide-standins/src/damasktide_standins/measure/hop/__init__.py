"""Throughput and added latency of the router, compared with a bare hop."""
