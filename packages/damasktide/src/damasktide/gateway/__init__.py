"""The gateway: takes requests of callers to targets and responses back."""
