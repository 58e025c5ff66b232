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
        customers = tuple(_decode_customer(fields) for fields in content["customers"])
        plans = tuple(_decode_plan(fields) for fields in content["plans"])
    except (KeyError, TypeError) as error:
        raise ValueError(f"the catalog could not be decoded: {error!r}") from error
    catalog = Catalog(customers, plans)
    for customer in customers:
        if customer.plan not in catalog.plan_by_name:
            raise ValueError(f"customer {customer.name} has the unknown plan {customer.plan!r}")
    return catalog


def _decode_customer(fields: dict[str, Any]) -> Customer:
    fields["home_regions"] = tuple(fields["home_regions"])
    return Customer(**fields)


def _decode_plan(fields: dict[str, Any]) -> Plan:
    fields["regions"] = tuple(fields["regions"])
    fields["services"] = tuple(fields["services"])
    return Plan(**fields)
