"""Which service and route a request belongs to."""
