"""Selection of a target for each request, or refusal of the request."""
