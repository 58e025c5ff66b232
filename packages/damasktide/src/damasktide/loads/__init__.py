"""Instances tell each other what targets report of their load."""
