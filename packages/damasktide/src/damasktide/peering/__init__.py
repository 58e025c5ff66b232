"""Authenticated calls between instances over multiplexed TCP links."""
