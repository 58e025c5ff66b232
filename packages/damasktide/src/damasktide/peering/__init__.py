"""Authenticated calls between instances over TCP links that carry many calls at once."""
