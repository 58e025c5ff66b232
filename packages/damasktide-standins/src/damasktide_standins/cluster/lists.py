"""Applies the customer and plan lists of a local deployment to its store."""

import uuid

from returns.pipeline import is_successful

from damasktide.catalog.canonical import encode_catalog
from damasktide.catalog.changes import Change, apply_change
from damasktide.catalog.reading import read_lists
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.store_task import StoreTask
from damasktide_standins.cluster.layout import CUSTOMERS, Layout, plans


def apply_lists(layout: Layout, platform_url: str) -> None:
    """Apply the lists of a customer that may use all regions and services in ``layout``.

    Raises
    ------
    RuntimeError
        If the change is not accepted.
    """
    catalog = read_lists(CUSTOMERS, plans(layout)).unwrap()
    apply_configuration_change(
        platform_url, Change("local", uuid.uuid4().hex, "lists", lists=encode_catalog(catalog))
    )


def apply_configuration_change(platform_url: str, change: Change) -> None:
    """Apply one change to the configuration.

    Raises
    ------
    RuntimeError
        If the change is not accepted.
    """
    store = StoreTask(StoreEndpoints(platform_url, platform_url))
    store.start()
    try:
        result = apply_change(store, change)
    finally:
        store.stop()
    if not is_successful(result):
        raise RuntimeError(f"the configuration change was not applied: {result.failure()}")
