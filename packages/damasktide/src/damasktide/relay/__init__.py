"""Instances of a failure domain pass on what the store says, so that few of them ask it."""
