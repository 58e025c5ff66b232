"""The gateway: forwards requests of callers to targets and returns the responses."""
