"""Decides which backend server owns a key and grants that ownership."""
