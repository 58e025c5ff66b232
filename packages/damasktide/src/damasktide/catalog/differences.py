"""Differences between two catalogs."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from enum import Enum

from damasktide.catalog.lists import Catalog, Customer, Plan


class DifferenceKind(Enum):
    """Kind of difference between two entries."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class FieldChange:
    """Value of a field before and after a change."""

    field: str
    before: object
    after: object


@dataclass(frozen=True, slots=True)
class Difference:
    """Difference in one entry.

    Attributes
    ----------
    kind
        Kind of difference.
    entry
        ``customer`` or ``plan``.
    name
        Name of the entry.
    fields
        The fields that differ, if the entry was changed.
    """

    kind: DifferenceKind
    entry: str
    name: str
    fields: tuple[FieldChange, ...] = ()


def compare_catalogs(before: Catalog, after: Catalog) -> tuple[Difference, ...]:
    """Return the differences of plans, then of customers, each sorted by name."""
    plans = _compare("plan", before.plan_by_name, after.plan_by_name)
    customers = _compare("customer", before.customer_by_name, after.customer_by_name)
    return (*plans, *customers)


def _compare(
    entry: str, before: Mapping[str, Plan | Customer], after: Mapping[str, Plan | Customer]
) -> Iterator[Difference]:
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield Difference(DifferenceKind.ADDED, entry, name)
        elif name not in after:
            yield Difference(DifferenceKind.REMOVED, entry, name)
        elif before[name] != after[name]:
            changes = tuple(_compare_fields(before[name], after[name]))
            yield Difference(DifferenceKind.CHANGED, entry, name, changes)


def _compare_fields(before: Plan | Customer, after: Plan | Customer) -> Iterator[FieldChange]:
    for field in fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            yield FieldChange(field.name, old, new)
