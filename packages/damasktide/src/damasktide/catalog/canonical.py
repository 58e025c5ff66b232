"""Canonical JSON of catalogs: equal catalogs have equal bytes, hence equal object names."""

import json
from dataclasses import asdict
from typing import Any

from damasktide.catalog.lists import Catalog, Customer, Plan

FORMAT = 1


def encode_catalog(catalog: Catalog) -> bytes:
    """Encode a catalog as JSON with sorted keys and without spaces."""
    content = {
        "format": FORMAT,
        "customers": [asdict(customer) for customer in catalog.customers],
        "plans": [asdict(plan) for plan in catalog.plans],
    }
    text = json.dumps(content, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return text.encode()


def decode_catalog(data: bytes) -> Catalog:
    """Decode the output of :func:`encode_catalog`.

    Raises
    ------
    ValueError
        If the data is malformed or a customer has an unknown plan.
    """
    try:
        content = json.loads(data)
        if content["format"] != FORMAT:
            raise ValueError(f"the catalog has the unknown format {content['format']!r}")
        customers = tuple(_customer(item) for item in content["customers"])
        plans = tuple(_plan(item) for item in content["plans"])
    except (KeyError, TypeError) as error:
        raise ValueError(f"the catalog could not be decoded: {error!r}") from error
    catalog = Catalog(customers, plans)
    for customer in customers:
        if customer.plan not in catalog.plan_by_name:
            raise ValueError(f"customer {customer.name} has the unknown plan {customer.plan!r}")
    return catalog


def _customer(item: dict[str, Any]) -> Customer:
    item["home_regions"] = tuple(item["home_regions"])
    return Customer(**item)


def _plan(item: dict[str, Any]) -> Plan:
    item["regions"] = tuple(item["regions"])
    item["services"] = tuple(item["services"])
    return Plan(**item)
