"""Organisations that call the services, and the API keys that identify them."""
