"""Usage caps of organisations over all instances."""
