"""Tasks, clocks, registries and findings that every slice uses."""
