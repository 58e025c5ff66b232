"""A process that sends requests at a fixed rate or as fast as they are answered."""
