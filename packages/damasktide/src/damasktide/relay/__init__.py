"""Relaying of table changes within a failure domain, so that few instances poll the store."""
