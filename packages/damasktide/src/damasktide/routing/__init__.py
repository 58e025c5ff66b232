"""Routing configuration, and the selection of a request's route and service."""
