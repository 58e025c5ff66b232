"""A process that generates load at a fixed rate or in a closed loop."""
