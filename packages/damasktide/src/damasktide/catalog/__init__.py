"""Customers and plans in force, and the domains and instances out of service."""
