"""A bare bottle application with one urllib3 hop, the baseline of the router."""
