"""Exchange of the targets' load reports between instances."""
