"""Applies the lists of a local deployment to its store."""

import uuid

from returns.pipeline import is_successful

from damasktide.catalog.canonical import encode_catalog
from damasktide.catalog.changes import Change, apply_change
from damasktide.catalog.reading import read_lists
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.store_task import StoreTask
from damasktide_standins.cluster.layout import CUSTOMERS, Layout, plans


def apply_lists(layout: Layout, platform_url: str) -> None:
    """Apply the lists that allow everything in ``layout``.

    Raises
    ------
    RuntimeError
        If the store does not accept them.
    """
    catalog = read_lists(CUSTOMERS, plans(layout)).unwrap()
    change_document(
        platform_url, Change("local", uuid.uuid4().hex, "lists", lists=encode_catalog(catalog))
    )


def change_document(platform_url: str, change: Change) -> None:
    """Apply one change of the configuration.

    Raises
    ------
    RuntimeError
        If the store does not accept it.
    """
    store = StoreTask(StoreEndpoints(platform_url, platform_url))
    store.start()
    try:
        applied = apply_change(store, change)
    finally:
        store.stop()
    if not is_successful(applied):
        raise RuntimeError(f"the change was not applied: {applied.failure()}")
