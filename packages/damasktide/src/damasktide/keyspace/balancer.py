"""Assigns the keys of a service by their number, and by their load while it is known."""

from collections.abc import Mapping, Sequence

from loguru import logger

from damasktide.demand.messages import DemandReport
from damasktide.keyspace.key_map import Incarnation, KeyMap
from damasktide.keyspace.load_balancing import rebalance
from damasktide.keyspace.planner import MIN_FAIR_SHARE_RATIO_BY_LOAD, Holder, plan
from damasktide.loads.messages import incarnation_hash

# Shortest time between two rounds of moves by load, so that the keys of one round are served again
# before the next.
REBALANCE_INTERVAL_S = 1.0
# A report of the demand is used for this long.
MAX_DEMAND_AGE_S = 3.0
# Bounds of a target's speed, and the number of calls at normal speed that are assumed in addition
# to the observed ones.
MIN_SPEED = 0.4
MAX_SPEED = 2.0
PRIOR_CALLS = 5.0


class KeyBalancer:
    """Knows the demand on keys and the speed of targets; changes maps accordingly.

    Times are seconds on the lease clock.
    """

    def __init__(self) -> None:
        self._demand = DemandReport()
        self._demand_at = float("-inf")
        # Load of each bucket of keys, by service.
        self._load_by_service: dict[str, Mapping[int, float]] = {}
        self._rebalanced_at_by_service: dict[str, float] = {}

    def set_demand(self, now: float, demand: DemandReport) -> None:
        """Replace the demand on keys, as summed over all instances."""
        self._demand = demand
        self._demand_at = now
        self._load_by_service.clear()

    def speed(self, incarnation: Incarnation) -> float:
        """Return the work that a target does per slot, relative to a typical target."""
        speed = self._demand.speed_by_incarnation.get(incarnation_hash(incarnation))
        if speed is None:
            return 1.0
        ratio = (speed.duration_ratio * speed.weight + PRIOR_CALLS) / (speed.weight + PRIOR_CALLS)
        return min(MAX_SPEED, max(MIN_SPEED, 1.0 / ratio))

    def assign(self, now: float, key_map: KeyMap, holders: Sequence[Holder]) -> KeyMap:
        """Return the map in which all keys have a holder and busy targets have given some away."""
        load_by_bucket = self._load_by_bucket(now, key_map.service)
        if not load_by_bucket:
            return plan(key_map, holders)
        changed = plan(key_map, holders, MIN_FAIR_SHARE_RATIO_BY_LOAD)
        if changed.ranges != key_map.ranges or not self._is_round_due(now, key_map.service):
            return changed
        changed = rebalance(key_map, holders, load_by_bucket)
        if changed is not key_map:
            logger.bind(
                service=key_map.service,
                load=round(sum(load_by_bucket.values()), 1),
                ranges=len(changed.ranges),
                moves=sum(not key_range.is_settled for key_range in changed.ranges),
            ).info("keys move by load")
        return changed

    def _load_by_bucket(self, now: float, service: str) -> Mapping[int, float]:
        if now > self._demand_at + MAX_DEMAND_AGE_S:
            return {}
        if service not in self._load_by_service:
            self._load_by_service[service] = self._demand.loads_of(service)
        return self._load_by_service[service]

    def _is_round_due(self, now: float, service: str) -> bool:
        """Return whether the next round of moves by load is due, and record that it takes place.

        The first one is due an interval after the demand became known.
        """
        last_at = self._rebalanced_at_by_service.setdefault(service, now)
        if now < last_at + REBALANCE_INTERVAL_S:
            return False
        self._rebalanced_at_by_service[service] = now
        return True
