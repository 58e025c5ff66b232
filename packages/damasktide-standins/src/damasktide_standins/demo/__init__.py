"""Demo: a cluster of local processes and one request of each kind."""
