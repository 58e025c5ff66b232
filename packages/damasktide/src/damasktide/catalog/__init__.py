"""The customers and plans in force, and what operators took out of service."""
