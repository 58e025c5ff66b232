"""Stand-ins for the platform, used by tests, measurements and the demo."""
