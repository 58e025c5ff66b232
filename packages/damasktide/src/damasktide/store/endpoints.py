"""Addresses of the store."""

from dataclasses import dataclass

CALL_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class StoreEndpoints:
    """Addresses and names of the store.

    Attributes
    ----------
    table_url
        Base URL of the table service.
    object_url
        Base URL of the object store.
    table
        Name of the table that holds the rows.
    bucket
        Bucket that holds the objects.
    timeout_s
        Longest time for one call, from connecting to the last byte of the response.
    """

    table_url: str
    object_url: str
    table: str = "damasktide"
    bucket: str = "damasktide"
    timeout_s: float = CALL_TIMEOUT_S
