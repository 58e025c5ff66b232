"""Shows one request of each kind through separate processes."""
