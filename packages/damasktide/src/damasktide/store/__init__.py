"""Reads and writes rows of the table service and objects of the object store."""
