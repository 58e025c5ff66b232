"""Throughput and added latency of the router, compared with a bare hop.

The bare hop is a plain Bottle application that forwards each request with urllib3.
"""
