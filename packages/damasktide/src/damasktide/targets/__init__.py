"""Backend servers as listed by the platform, and which of them may be given work."""
