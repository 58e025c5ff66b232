"""Decides where a request goes; a state machine without network."""

from collections import defaultdict
from collections.abc import Mapping
from random import Random

from damasktide.dispatch.cold_start import ColdStartLimiter, Instances
from damasktide.dispatch.load_estimate import LoadEstimate, LoadReport
from damasktide.dispatch.messages import (
    CallOutcome,
    NoTarget,
    NoTargetReason,
    TargetQuery,
    TargetSelection,
)
from damasktide.dispatch.policies import Policy, Ranking, dispatch_policies
from damasktide.routing.configuration import Service
from damasktide.targets.target import TargetEntry, TargetView

# Added to the expected finish for each step away, as part of the route's objective. Bytes that
# cross are paid for, so a target nearby is used until it would be that much later.
DOMAIN_CROSSING = 0.25
REGION_CROSSING = 0.5
# Round trip between regions in seconds, which a caller waits for in any case.
REGION_ROUND_TRIP_S = 0.06
USUAL_WEIGHT = 0.05
# Under overload a request is only queued if it will be answered within this part of its
# objective, by rank of its priority within the service; what is late anyway takes the slots of
# requests that could still be in time.
QUEUED_FINISH_PARTS = (1.2, 0.8, 0.6)
# Part of the slots that is left to more urgent requests, by the same rank.
RESERVED_PARTS = (0.0, 0.2, 0.35)
# With a free slot a call is tried if it has this part of the expected time.
LEAST_TIME_PART = 0.4
# Before the first response a call is expected to take this part of the objective.
FIRST_USUAL_PART = 0.3
# Calls that a target that sheds is assumed to have queued.
SHED_QUEUE_CALLS = 6
# Targets of each distance that are compared for a request. Reports are some tenths of a second
# old, so instances that all compare all targets would choose the same ones.
COMPARED_TARGETS = 6
SHORTEST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.0
# Time in which a lost target is replaced or a key gets another owner.
RECOVERY_RETRY_S = 0.8


class Dispatcher:
    """Chooses targets by their expected finish, near ones first.

    Parameters
    ----------
    domain, region_by_domain
        Failure domain of this instance, and the region of each failure domain.
    instance
        Name of this instance.
    rng
        Source of randomness.
    policy
        Name of the policy that ranks targets.
    """

    def __init__(
        self,
        domain: str,
        region_by_domain: Mapping[str, str],
        instance: str = "",
        rng: Random | None = None,
        policy: str = "expected_finish",
    ) -> None:
        self._domain = domain
        self._region_by_domain = region_by_domain
        self._region = region_by_domain.get(domain, "")
        self._rng = rng or Random()
        self._policy: Policy = dispatch_policies.get(policy)
        self._view = TargetView()
        self._instances = Instances()
        self._estimate_by_life: dict[tuple[str, int], LoadEstimate] = {}
        self._cold_limiter = ColdStartLimiter(instance)
        self._usual_s_by_route: dict[str, float] = {}

    def set_targets(self, now: float, view: TargetView) -> None:
        """Replace what is known of the targets."""
        known = self._estimate_by_life
        self._view = view
        self._estimate_by_life = {}
        for entry in view.entry_by_id.values():
            estimate = known.get(entry.incarnation) or LoadEstimate(entry)
            is_news = (
                entry.incarnation not in known
                or estimate.entry.cold_start_remaining_s != entry.cold_start_remaining_s
            )
            if is_news and entry.cold_start_remaining_s > 0.0:
                estimate.cold_until = now + entry.cold_start_remaining_s
            estimate.entry = entry
            self._estimate_by_life[entry.incarnation] = estimate
        self._cold_limiter.forget(set(view.entry_by_id))

    def set_instances(self, instances: Instances) -> None:
        """Replace the instances that share a cold target."""
        self._instances = instances

    def typical_s(self, route: str, objective_s: float) -> float:
        """Return the time that a call of ``route`` usually takes."""
        return self._usual_s_by_route.get(route, FIRST_USUAL_PART * objective_s)

    def choose(self, now: float, wanted: TargetQuery) -> TargetSelection | NoTarget:
        """Choose a target and count the call as in flight until :meth:`ended`."""
        found = (
            self._owner(now, wanted) if wanted.owner_id is not None else self._best(now, wanted)
        )
        if isinstance(found, NoTarget):
            return found
        typical_s = self.typical_s(wanted.route, wanted.objective_s)
        chosen = TargetSelection(
            found.entry,
            found.finish_s(now, typical_s) + self._round_trip_s(found.entry.domain),
            found.calls(now),
            found.load_factor(now),
            found.has_free_slot(now),
        )
        if found.is_cold(now):
            self._cold_limiter.sent(now, found.entry.target_id)
        found.call_starts(now)
        return chosen

    def take_peer_reports(
        self, now: float, incarnation: tuple[str, int], report: LoadReport, age_s: float
    ) -> None:
        """Take in a report that another instance was given ``age_s`` seconds ago."""
        estimate = self._estimate_by_life.get(incarnation)
        if estimate is not None:
            estimate.take_peer_reports(now, report, age_s)

    def ended(self, now: float, outcome: CallOutcome) -> None:
        """Take in the end of a call."""
        estimate = self._estimate_by_life.get(outcome.entry.incarnation)
        if estimate is None:
            return
        if outcome.report is not None:
            estimate.take_report(now, outcome.report)
        is_lost = outcome.is_unreachable or outcome.is_abandoned or outcome.has_no_answer
        estimate.call_ends(now, is_answered=not is_lost)
        if outcome.is_unreachable:
            estimate.take_unreachable(now)
        if outcome.is_misdirected and not outcome.is_keyed:
            estimate.take_replaced(now)
        if outcome.is_unreachable or outcome.is_abandoned or outcome.is_misdirected:
            return
        estimate.take_connected()
        estimate.take_outcome(now, outcome.has_failed or outcome.is_shed)
        if outcome.is_shed:
            estimate.take_shed(now, SHED_QUEUE_CALLS)
        elif not outcome.has_failed:
            self._learn(now, estimate, outcome)

    def _learn(self, now: float, estimate: LoadEstimate, outcome: CallOutcome) -> None:
        round_trip_s = self._round_trip_s(outcome.entry.domain)
        work_s = max(0.001, outcome.duration_s - round_trip_s)
        typical_s = self._usual_s_by_route.get(outcome.route)
        if typical_s is None:
            self._usual_s_by_route[outcome.route] = work_s
            return
        idle_s = work_s / (estimate.slowdown(now) * outcome.load_factor)
        self._usual_s_by_route[outcome.route] = typical_s + USUAL_WEIGHT * (
            idle_s / estimate.speed - typical_s
        )
        estimate.take_speed(idle_s / typical_s)

    def _owner(self, now: float, wanted: TargetQuery) -> LoadEstimate | NoTarget:
        assert wanted.owner_id is not None
        entry = self._view.usable(wanted.owner_id)
        if entry is None or not self._is_allowed(entry, wanted):
            return NoTarget(NoTargetReason.OWNER_UNUSABLE, RECOVERY_RETRY_S)
        estimate = self._estimate_by_life[entry.incarnation]
        if now < estimate.unreachable_until:
            return NoTarget(NoTargetReason.ALL_UNREACHABLE, RECOVERY_RETRY_S)
        if not self._admits_cold(now, estimate, wanted.service):
            return NoTarget(NoTargetReason.ALL_COLD, RECOVERY_RETRY_S)
        return self._in_time(now, estimate, wanted)

    def _best(self, now: float, wanted: TargetQuery) -> LoadEstimate | NoTarget:
        usable = self._view.usable_by_service.get(wanted.service.name, ())
        if not usable:
            return NoTarget(NoTargetReason.NONE_LISTED, RECOVERY_RETRY_S)
        allowed = [entry for entry in usable if self._is_allowed(entry, wanted)]
        if not allowed:
            return NoTarget(NoTargetReason.NONE_IN_REGIONS, RECOVERY_RETRY_S)
        untried = [entry for entry in allowed if entry.target_id not in wanted.tried_ids]
        if not untried:
            return NoTarget(NoTargetReason.ALL_TRIED, SHORTEST_RETRY_S)
        estimates = [self._estimate_by_life[entry.incarnation] for entry in untried]
        reachable = [item for item in estimates if now >= item.unreachable_until]
        if not reachable:
            return NoTarget(NoTargetReason.ALL_UNREACHABLE, RECOVERY_RETRY_S)
        found = self._first_idle(now, reachable, wanted)
        if found is not None:
            return found
        ranked = self._ranked(now, reachable, wanted)
        for _, estimate in ranked:
            if self._admits_cold(now, estimate, wanted.service):
                return self._in_time(now, estimate, wanted)
        return NoTarget(NoTargetReason.ALL_COLD, RECOVERY_RETRY_S)

    def _first_idle(
        self, now: float, reachable: list[LoadEstimate], wanted: TargetQuery
    ) -> LoadEstimate | None:
        """Return the best of a few random targets if it has a free slot.

        See Mitzenmacher, "How useful is old information?" (2000).
        """
        compared = self._compared(reachable)
        if len(compared) == len(reachable):
            return None
        best = self._ranked(now, compared, wanted)[0][1]
        if not best.has_free_slot(now) or best.is_cold(now):
            return None
        in_time = self._in_time(now, best, wanted)
        return in_time if isinstance(in_time, LoadEstimate) else None

    def _compared(self, reachable: list[LoadEstimate]) -> list[LoadEstimate]:
        by_distance: dict[float, list[LoadEstimate]] = defaultdict(list)
        for estimate in reachable:
            by_distance[self._crossing_s(estimate.entry.domain, 1.0)].append(estimate)
        compared: list[LoadEstimate] = []
        for group in by_distance.values():
            if len(group) > COMPARED_TARGETS:
                group = self._rng.sample(group, COMPARED_TARGETS)
            compared += group
        return compared

    def _ranked(
        self, now: float, estimates: list[LoadEstimate], wanted: TargetQuery
    ) -> list[tuple[float, LoadEstimate]]:
        typical_s = self.typical_s(wanted.route, wanted.objective_s)
        ranking = Ranking(now, typical_s, _by_rank(RESERVED_PARTS, wanted.rank))
        ranked = [
            (
                self._policy(estimate, ranking, self._rng)
                + self._crossing_s(estimate.entry.domain, wanted.objective_s),
                estimate,
            )
            for estimate in estimates
        ]
        ranked.sort(key=lambda item: item[0])
        return ranked

    def _in_time(
        self, now: float, estimate: LoadEstimate, wanted: TargetQuery
    ) -> LoadEstimate | NoTarget:
        """Refuse at once what would probably not be answered in time."""
        typical_s = self.typical_s(wanted.route, wanted.objective_s)
        finish_s = estimate.finish_s(now, typical_s) + self._round_trip_s(estimate.entry.domain)
        if estimate.has_free_slot(now):
            late_s = LEAST_TIME_PART * finish_s - wanted.remaining_s
        else:
            part = _by_rank(QUEUED_FINISH_PARTS, wanted.rank)
            late_s = finish_s - min(wanted.remaining_s, part * wanted.objective_s)
        if late_s <= 0.0:
            return estimate
        return NoTarget(
            NoTargetReason.TOO_LATE, min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, late_s))
        )

    def _admits_cold(self, now: float, estimate: LoadEstimate, service: Service) -> bool:
        if not estimate.is_cold(now) or service.cold_requests_per_s <= 0.0:
            return True
        entry = estimate.entry
        return self._cold_limiter.admits(
            now, entry.target_id, entry.domain, service.cold_requests_per_s, self._instances
        )

    def _is_allowed(self, entry: TargetEntry, wanted: TargetQuery) -> bool:
        return not wanted.regions or self._region_by_domain.get(entry.domain) in wanted.regions

    def _crossing_s(self, domain: str, objective_s: float) -> float:
        if domain == self._domain:
            return 0.0
        if self._region_by_domain.get(domain) == self._region:
            return DOMAIN_CROSSING * objective_s
        return REGION_CROSSING * objective_s + REGION_ROUND_TRIP_S

    def is_near(self, domain: str) -> bool:
        """Return whether a failure domain is in the region of this instance."""
        return self._region_by_domain.get(domain) == self._region

    def _round_trip_s(self, domain: str) -> float:
        return 0.0 if self.is_near(domain) else REGION_ROUND_TRIP_S


def _by_rank(parts: tuple[float, ...], rank: int) -> float:
    return parts[min(rank, len(parts) - 1)]
