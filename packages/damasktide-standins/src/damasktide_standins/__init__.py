"""Stand-ins for the systems around the router, used by tests, measurements and the demo.

They stand for the platform, its load balancer and the backend servers.
"""
