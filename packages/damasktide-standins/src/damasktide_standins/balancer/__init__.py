"""Stand-in for the platform's load balancer."""
