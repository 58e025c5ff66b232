"""Checks requests against the accepted catalog and defines all refusals."""
