"""Shares of slots, connections and volume, and the queues of requests that wait for them."""
