"""Shares of slots, connections and volume, and the queues in front of them."""
