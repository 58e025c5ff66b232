"""Tasks, clocks, registries and findings, which all packages share."""
