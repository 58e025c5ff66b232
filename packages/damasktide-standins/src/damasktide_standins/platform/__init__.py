"""Stand-in for the platform: table service, object store and live list in one process."""
