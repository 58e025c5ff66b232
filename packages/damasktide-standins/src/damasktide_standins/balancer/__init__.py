"""Stand-in of the platform's load balancer."""
