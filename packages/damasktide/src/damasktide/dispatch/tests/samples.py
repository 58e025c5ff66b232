"""Targets, services and queries for the tests of this package."""

from damasktide.dispatch.dispatcher import Dispatcher
from damasktide.dispatch.messages import TargetQuery
from damasktide.routing.configuration import Service
from damasktide.targets.target import TargetEntry, TargetState, TargetView

REGION_BY_DOMAIN = {"a1": "a", "a2": "a", "b1": "b"}
SERVICE = Service("desk", cold_requests_per_s=8.0)
OBJECTIVE_S = 0.8
SLOTS = 6


def make_target(
    name: str, domain: str = "a1", cold_start_remaining_s: float = 0.0, incarnation: int = 1
) -> TargetEntry:
    """Return the entry of a target of ``SERVICE``."""
    return TargetEntry(
        name,
        incarnation,
        SERVICE.name,
        domain,
        (name, 80),
        SLOTS,
        TargetState.READY,
        cold_start_remaining_s,
    )


def make_view(*entries: TargetEntry, evacuated: frozenset[str] = frozenset()) -> TargetView:
    """Return a view of ``entries``; those in an evacuated domain are not usable."""
    usable = tuple(entry for entry in entries if entry.domain not in evacuated)
    return TargetView({entry.target_id: entry for entry in entries}, {SERVICE.name: usable})


def make_dispatcher(*entries: TargetEntry, policy: str = "expected_finish") -> Dispatcher:
    """Return a dispatcher in domain ``a1`` that knows ``entries``."""
    dispatcher = Dispatcher("a1", REGION_BY_DOMAIN, "a1-0", policy=policy)
    dispatcher.set_targets(0.0, make_view(*entries))
    return dispatcher


def make_query(
    remaining_s: float = 2.0,
    rank: int = 0,
    regions: frozenset[str] = frozenset(),
    owner_id: str | None = None,
    tried_ids: frozenset[str] = frozenset(),
    until_abort_s: float = float("inf"),
) -> TargetQuery:
    """Return the query of a request of route ``read``."""
    return TargetQuery(
        SERVICE,
        "read",
        OBJECTIVE_S,
        remaining_s,
        regions,
        rank,
        owner_id,
        tried_ids,
        until_abort_s,
    )
