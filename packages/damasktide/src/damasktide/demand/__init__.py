"""Demand on the keys of the services, measured by all instances and summed for the leader."""
