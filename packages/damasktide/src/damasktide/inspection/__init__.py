"""What the store says of the system, for operators."""
