"""Selection of the target of a request."""
