"""Which target holds which keys: the map, its changes and the grants."""
