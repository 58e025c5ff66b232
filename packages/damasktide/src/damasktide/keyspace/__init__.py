"""Assignment of keys to targets: the map, its changes and the grants."""
