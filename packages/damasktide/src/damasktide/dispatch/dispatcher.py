"""Target selection for requests; a state machine without I/O."""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import replace
from random import Random

from damasktide.capacity.learner import KNEE_OCCUPANCY, TargetLearner
from damasktide.dispatch.cold_start import ColdStartLimiter, RegisteredInstances
from damasktide.dispatch.load_estimate import (
    UNRESPONSIVE_FACTOR,
    UNRESPONSIVE_OWNER_FACTOR,
    LoadEstimate,
    LoadReport,
)
from damasktide.dispatch.messages import (
    CallOutcome,
    NoTarget,
    NoTargetReason,
    TargetQuery,
    TargetSelection,
)
from damasktide.dispatch.pauses import PauseRegister
from damasktide.dispatch.policies import Policy, RankingContext, dispatch_policies
from damasktide.routing.configuration import Service
from damasktide.targets.target import TargetEntry, TargetState, TargetView

# Penalties for leaving this failure domain or region, added to the expected finish time, as
# fractions of the route's objective. Traffic between domains is billed, so a nearby target is
# preferred unless it would finish later by more than the penalty.
DOMAIN_CROSSING_PENALTY_FRACTION = 0.25
REGION_CROSSING_PENALTY_FRACTION = 0.5
# Network round trip that is added to every call to another region.
REGION_ROUND_TRIP_S = 0.06
# Weight of a new call in the moving average of a route's typical call time.
TYPICAL_TIME_WEIGHT = 0.05
# When all slots are taken, a request is queued only if it is expected to finish within this
# fraction of its objective, indexed by the rank of its priority within the service. A request
# that would be late anyway would occupy a slot that another one needs to finish in time.
QUEUED_FINISH_FRACTION_BY_RANK = (1.2, 0.8, 0.6)
# Fraction of a target's slots that is reserved for more urgent requests, indexed by the same rank.
RESERVED_SLOT_FRACTION_BY_RANK = (0.0, 0.2, 0.35)
# With a free slot, a call is made if at least this fraction of its expected time remains.
MIN_TIME_FRACTION = 0.4
# Typical call time assumed before a route's first response, as a fraction of its objective.
INITIAL_TYPICAL_TIME_FRACTION = 0.3
# Number of calls assumed to be queued at a target that sheds.
SHED_QUEUE_CALLS = 6
# Number of targets at each distance that are compared for a request. Load reports are some tenths
# of a second old, so instances that all compared every target would choose the same ones.
SAMPLED_TARGETS_PER_DISTANCE = 6
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 1.0
# Time within which a lost target is replaced or a key is assigned to another owner.
RECOVERY_RETRY_AFTER_S = 0.8
# An owner that announced its end in a response gets requests for its keys until this long before
# it stops to serve. Allows for requests that are on their way.
LEAVING_OWNER_MARGIN_S = 1.0
# Learned capacities are applied to the estimates this often.
REFRESH_INTERVAL_S = 0.5
# Weight, at each refresh, of a target whose response is overdue. Without it, the other instances
# would learn that a target does not respond only when the first calls reach their deadlines.
OVERDUE_WEIGHT = 1.0
# The durations of a route's first calls are not learned from: its typical time is that of a few
# calls then, and the ratios of all of them would have the same error.
MIN_ROUTE_CALLS = 5
# Weight of a call at a busy target in the typical call time, relative to one at another target.
BUSY_TYPICAL_TIME_FRACTION = 0.1


class Dispatcher:
    """Selects targets by their expected finish time, with a preference for nearby ones.

    Parameters
    ----------
    domain, region_by_domain
        Failure domain of this instance, and the region of each failure domain.
    instance
        Name of this instance.
    rng
        Random number generator.
    policy
        Name of the policy that ranks targets.
    drain_s
        Seconds for which a target that announced its end still serves requests.
    learner
        Learns the capacities of targets, or None if estimates use their own calls only.
    """

    def __init__(
        self,
        domain: str,
        region_by_domain: Mapping[str, str],
        instance: str = "",
        rng: Random | None = None,
        policy: str = "expected_finish",
        drain_s: float = 0.0,
        learner: TargetLearner | None = None,
    ) -> None:
        self._domain = domain
        self._region_by_domain = region_by_domain
        self._region = region_by_domain.get(domain, "")
        self._rng = rng or Random()
        self._policy: Policy = dispatch_policies.get(policy)
        self._view = TargetView()
        self._instances = RegisteredInstances()
        self._estimate_by_incarnation: dict[tuple[str, int], LoadEstimate] = {}
        self._cold_limiter = ColdStartLimiter(instance)
        self._typical_call_s_by_route: dict[str, float] = {}
        # Typical time at an idle target; only used to learn the ratios of targets.
        self._unloaded_call_s_by_route: dict[str, float] = {}
        self._mean_calls_by_service: dict[str, float] = {}
        self._call_count_by_route: dict[str, int] = {}
        self._learner = learner
        self._refresh_at = float("-inf")
        self._pauses = PauseRegister()
        self._leaving_owner_s = max(0.0, drain_s - LEAVING_OWNER_MARGIN_S)

    def set_targets(self, now: float, view: TargetView) -> None:
        """Replace the known targets; the estimates of incarnations that remain are kept."""
        previous = self._estimate_by_incarnation
        self._view = view
        self._estimate_by_incarnation = {}
        for entry in view.entry_by_id.values():
            estimate = previous.get(entry.incarnation) or LoadEstimate(entry)
            has_new_cold_start = (
                entry.incarnation not in previous
                or estimate.entry.cold_start_remaining_s != entry.cold_start_remaining_s
            )
            if has_new_cold_start and entry.cold_start_remaining_s > 0.0:
                estimate.cold_until = now + entry.cold_start_remaining_s
            estimate.is_unconfirmed = entry.target_id in view.unconfirmed_since_by_id
            estimate.entry = entry
            self._estimate_by_incarnation[entry.incarnation] = estimate
        self._cold_limiter.retain_only(set(view.entry_by_id))
        self._refresh_at = now

    def estimates(self) -> Iterator[LoadEstimate]:
        """Yield the estimates of all known targets."""
        yield from self._estimate_by_incarnation.values()

    def refresh_capacities(self, now: float) -> None:
        """Apply the learned capacities to the estimates."""
        self._refresh_at = now + REFRESH_INTERVAL_S
        if self._learner is None:
            return
        for estimate in self._estimate_by_incarnation.values():
            ratio = estimate.overdue_ratio(now)
            if ratio > 0.0:
                occupancy = (estimate.last_reported_calls + 1.0) / max(1, estimate.entry.slots)
                self._learner.record_call(now, estimate.entry, ratio, OVERDUE_WEIGHT, occupancy)
        capacities = self._learner.capacities(now, self._view.entry_by_id.values())
        for incarnation, capacity in capacities.items():
            estimate = self._estimate_by_incarnation[incarnation]
            estimate.duration_ratio = capacity.duration_ratio
            estimate.duration_ratio_count = round(capacity.weight)
            estimate.limit_fraction = capacity.limit_fraction

    def limited_report(self, incarnation: tuple[str, int], report: LoadReport) -> LoadReport:
        """Return a load report with the number of calls that the target handles well as slots."""
        estimate = self._estimate_by_incarnation.get(incarnation)
        if estimate is None or estimate.limit_fraction >= 1.0:
            return report
        return replace(report, slots=max(1, round(report.slots * estimate.limit_fraction)))

    def take_due_probes(
        self, now: float, service_by_name: Mapping[str, Service]
    ) -> Iterator[tuple[TargetEntry, float]]:
        """Yield the returned targets to probe now, and the monotonic time of their return.

        Only the instances that may send to a cold target probe it, once for each return. A probe
        counts as a request to the target.
        """
        for target_id, returned_at in self._view.unconfirmed_since_by_id.items():
            entry = self._view.usable(target_id)
            service = service_by_name.get(entry.service) if entry is not None else None
            if entry is None or service is None or service.cold_requests_per_s <= 0.0:
                continue
            estimate = self._estimate_by_incarnation[entry.incarnation]
            if estimate.probed_for_return_at == returned_at:
                continue
            if self._may_send_to_cold(now, estimate, service):
                estimate.probed_for_return_at = returned_at
                self._cold_limiter.record_send(now, target_id)
                yield entry, returned_at

    def set_instances(self, instances: RegisteredInstances) -> None:
        """Replace the instances that share the request rate of cold targets."""
        self._instances = instances

    def typical_call_s(self, route: str, objective_s: float) -> float:
        """Return the typical duration of a call of ``route``, in seconds."""
        return self._typical_call_s_by_route.get(
            route, INITIAL_TYPICAL_TIME_FRACTION * objective_s
        )

    def learned_speeds(
        self, services: frozenset[str]
    ) -> Iterator[tuple[tuple[str, int], float, int]]:
        """Yield incarnation, mean relative duration and number of calls of targets that had any.

        Only the targets of ``services`` are included.
        """
        for incarnation, estimate in self._estimate_by_incarnation.items():
            if estimate.duration_ratio_count and estimate.entry.service in services:
                yield incarnation, estimate.duration_ratio, estimate.duration_ratio_count

    def choose(self, now: float, query: TargetQuery) -> TargetSelection | NoTarget:
        """Select a target and count the call as in flight until :meth:`record_outcome`."""
        if self._learner is not None and now >= self._refresh_at:
            self.refresh_capacities(now)
        estimate = (
            self._find_owner(now, query)
            if query.owner_id is not None
            else self._find_best(now, query)
        )
        if isinstance(estimate, NoTarget):
            return estimate
        typical_call_s = self.typical_call_s(query.route, query.objective_s)
        selection = TargetSelection(
            estimate.entry,
            estimate.finish_s(now, typical_call_s) + self._round_trip_s(estimate.entry.domain),
            estimate.calls(now),
            estimate.load_factor(now),
            estimate.has_free_slot(now),
        )
        if estimate.is_cold(now):
            self._cold_limiter.record_send(now, estimate.entry.target_id)
        estimate.record_call_start(now, typical_call_s)
        return selection

    def record_peer_report(
        self, now: float, incarnation: tuple[str, int], report: LoadReport, age_s: float
    ) -> None:
        """Record a report that another instance received ``age_s`` seconds ago."""
        estimate = self._estimate_by_incarnation.get(incarnation)
        if estimate is not None:
            estimate.record_peer_report(now, report, age_s)

    def record_outcome(self, now: float, outcome: CallOutcome) -> None:
        """Record the outcome of a call."""
        self._pauses.record(now, outcome.entry.incarnation, outcome.pause_s)
        estimate = self._estimate_by_incarnation.get(outcome.entry.incarnation)
        if estimate is None:
            return
        if outcome.report is not None:
            estimate.record_report(now, outcome.report)
        is_lost = outcome.is_unreachable or outcome.is_abandoned or outcome.has_no_response
        estimate.record_call_end(now, has_response=not is_lost)
        if self._learner is not None and is_lost and not outcome.is_unreachable:
            self._learn_from_silence(now, estimate, outcome)
        if outcome.is_unreachable:
            estimate.record_unreachable(now)
        if outcome.is_misdirected and not outcome.is_keyed:
            estimate.record_replaced(now)
        if outcome.is_unreachable or outcome.is_abandoned or outcome.is_misdirected:
            return
        estimate.record_connected()
        estimate.record_result(now, outcome.has_failed or outcome.is_shed)
        if outcome.is_shed:
            estimate.record_shed(now, SHED_QUEUE_CALLS)
        elif not outcome.has_failed:
            self._update_estimates(now, estimate, outcome)

    def _update_estimates(self, now: float, estimate: LoadEstimate, outcome: CallOutcome) -> None:
        if self._learner is not None:
            self._learn_from_response(now, self._learner, estimate, outcome)
            return
        processing_s = self._processing_s(outcome)
        typical_call_s = self._typical_call_s_by_route.get(outcome.route)
        if typical_call_s is None:
            self._typical_call_s_by_route[outcome.route] = processing_s
            return
        unloaded_s = processing_s / (estimate.slowdown(now) * outcome.load_factor)
        self._typical_call_s_by_route[outcome.route] = typical_call_s + TYPICAL_TIME_WEIGHT * (
            unloaded_s / estimate.duration_ratio - typical_call_s
        )
        estimate.record_duration_ratio(unloaded_s / typical_call_s)

    def _learn_from_response(
        self, now: float, learner: TargetLearner, estimate: LoadEstimate, outcome: CallOutcome
    ) -> None:
        """Learn the typical time of the route and the target's duration ratio from a call."""
        slowdown, report = estimate.slowdown(now), outcome.report
        # What this instance knew of the load when it chose the target may have been outdated, and
        # requests that the report counts may have arrived after this one. The smaller factor does
        # not take a growing queue for a fast target, which would get even more requests.
        load_factor = outcome.load_factor
        if report is not None:
            load_factor = min(load_factor, estimate.load_factor_of(report))
        unloaded_s = self._processing_s(outcome) / (slowdown * load_factor)
        calls = report.running + report.waiting + 1 if report else 1
        occupancy = calls / max(1, outcome.entry.slots)
        if report is not None:
            mean_calls, service = self._mean_calls_by_service, outcome.entry.service
            _update_mean(mean_calls, service, float(calls - 1), TYPICAL_TIME_WEIGHT)
        count = self._call_count_by_route.get(outcome.route, 0) + 1
        self._call_count_by_route[outcome.route] = count
        weight = max(TYPICAL_TIME_WEIGHT, 1.0 / count)
        # The typical time is relative to the load that this instance knew of at the choice, as in
        # the expected time of the next choice.
        known_s = self._processing_s(outcome) / (slowdown * outcome.load_factor)
        _update_mean(
            self._typical_call_s_by_route,
            outcome.route,
            known_s / estimate.duration_ratio,
            weight,
        )
        if occupancy > KNEE_OCCUPANCY:
            # If all targets are slower when busy, that must not become the typical time.
            weight *= BUSY_TYPICAL_TIME_FRACTION
        normal_s = unloaded_s / estimate.duration_ratio
        unloaded_typical_s = _update_mean(
            self._unloaded_call_s_by_route, outcome.route, normal_s, weight
        )
        if count > MIN_ROUTE_CALLS:
            # Slowdown and queue change during a call, so the correction for them is inexact.
            confidence = 1.0 / max(1.0, slowdown * load_factor)
            ratio = unloaded_s / unloaded_typical_s
            learner.record_call(now, outcome.entry, ratio, confidence, occupancy)

    def _learn_from_silence(
        self, now: float, estimate: LoadEstimate, outcome: CallOutcome
    ) -> None:
        """Learn from a call that ended without a response, for example after its hedge."""
        typical_call_s = self._typical_call_s_by_route.get(outcome.route)
        if typical_call_s is None or self._learner is None:
            return
        estimate.record_no_response(now, outcome.duration_s, typical_call_s)
        load_factor = max(outcome.load_factor, estimate.load_factor(now))
        unloaded_s = self._processing_s(outcome) / (estimate.slowdown(now) * load_factor)
        ratio = unloaded_s / self._unloaded_call_s_by_route[outcome.route]
        if ratio > estimate.duration_ratio:
            # The call would have taken at least this long. Its occupancy is not known; that of an
            # earlier call has the same distribution.
            occupancy = (estimate.last_reported_calls + 1.0) / max(1, outcome.entry.slots)
            self._learner.record_call(now, outcome.entry, ratio, 1.0 / load_factor, occupancy)

    def _processing_s(self, outcome: CallOutcome) -> float:
        return max(0.001, outcome.duration_s - self._round_trip_s(outcome.entry.domain))

    def _find_owner(self, now: float, query: TargetQuery) -> LoadEstimate | NoTarget:
        assert query.owner_id is not None
        entry = self._view.usable(query.owner_id) or self._leaving_owner(now, query.owner_id)
        if entry is None or not self._is_allowed(entry, query):
            return NoTarget(NoTargetReason.OWNER_UNUSABLE, RECOVERY_RETRY_AFTER_S)
        pause_s = self._pauses.remaining_s(now, entry.incarnation)
        if pause_s > 0.0:
            return NoTarget(NoTargetReason.PAUSED, pause_s)
        estimate = self._estimate_by_incarnation[entry.incarnation]
        if now < estimate.unreachable_until:
            return NoTarget(NoTargetReason.ALL_UNREACHABLE, RECOVERY_RETRY_AFTER_S)
        if not self._responsive(now, [estimate], query, UNRESPONSIVE_OWNER_FACTOR):
            return NoTarget(NoTargetReason.TOO_LATE, MAX_RETRY_AFTER_S)
        if not self._may_send_to_cold(now, estimate, query.service):
            return NoTarget(NoTargetReason.ALL_COLD, RECOVERY_RETRY_AFTER_S)
        return self._admit_if_in_time(now, estimate, query)

    def _leaving_owner(self, now: float, target_id: str) -> TargetEntry | None:
        """Return an owner that announced its end in a response while it still serves."""
        since = self._view.leaving_since_by_id.get(target_id)
        if since is None or now >= since + self._leaving_owner_s:
            return None
        entry = self._view.entry_by_id[target_id]
        is_evacuated = entry.domain in self._view.evacuated_domains
        return entry if entry.state is TargetState.LEAVING and not is_evacuated else None

    def _find_best(self, now: float, query: TargetQuery) -> LoadEstimate | NoTarget:
        usable = self._view.usable_by_service.get(query.service.name, ())
        if not usable:
            return NoTarget(NoTargetReason.NONE_LISTED, RECOVERY_RETRY_AFTER_S)
        allowed = [entry for entry in usable if self._is_allowed(entry, query)]
        if not allowed:
            return NoTarget(NoTargetReason.NONE_IN_REGIONS, RECOVERY_RETRY_AFTER_S)
        untried = [entry for entry in allowed if entry.target_id not in query.tried_ids]
        if not untried:
            return NoTarget(NoTargetReason.ALL_TRIED, MIN_RETRY_AFTER_S)
        pause_s = [self._pauses.remaining_s(now, entry.incarnation) for entry in untried]
        accepting = [entry for entry, rest_s in zip(untried, pause_s, strict=True) if not rest_s]
        if not accepting:
            return NoTarget(NoTargetReason.PAUSED, min(pause_s))
        estimates = [self._estimate_by_incarnation[entry.incarnation] for entry in accepting]
        reachable = [estimate for estimate in estimates if now >= estimate.unreachable_until]
        if not reachable:
            return NoTarget(NoTargetReason.ALL_UNREACHABLE, RECOVERY_RETRY_AFTER_S)
        reachable = self._responsive(now, reachable, query, UNRESPONSIVE_FACTOR)
        if not reachable:
            return NoTarget(NoTargetReason.TOO_LATE, MAX_RETRY_AFTER_S)
        idle = self._find_idle_in_sample(now, reachable, query)
        if idle is not None:
            return idle
        ranked = self._rank_targets(now, reachable, query)
        for _, estimate in ranked:
            if self._may_send_to_cold(now, estimate, query.service):
                return self._admit_if_in_time(now, estimate, query)
        return NoTarget(NoTargetReason.ALL_COLD, RECOVERY_RETRY_AFTER_S)

    def _find_idle_in_sample(
        self, now: float, reachable: list[LoadEstimate], query: TargetQuery
    ) -> LoadEstimate | None:
        """Return the best target of a random sample if it has a free slot, or None.

        See Mitzenmacher, "How useful is old information?" (2000).
        """
        sampled = self._sample_by_distance(reachable)
        if len(sampled) == len(reachable):
            return None
        best = self._rank_targets(now, sampled, query)[0][1]
        if not best.has_free_slot(now) or best.is_cold(now):
            return None
        in_time = self._admit_if_in_time(now, best, query)
        return in_time if isinstance(in_time, LoadEstimate) else None

    def _sample_by_distance(self, reachable: list[LoadEstimate]) -> list[LoadEstimate]:
        by_distance: dict[float, list[LoadEstimate]] = defaultdict(list)
        for estimate in reachable:
            by_distance[self._distance_penalty_s(estimate.entry.domain, 1.0)].append(estimate)
        sampled: list[LoadEstimate] = []
        for group in by_distance.values():
            if len(group) > SAMPLED_TARGETS_PER_DISTANCE:
                group = self._rng.sample(group, SAMPLED_TARGETS_PER_DISTANCE)
            sampled += group
        return sampled

    def _rank_targets(
        self, now: float, estimates: list[LoadEstimate], query: TargetQuery
    ) -> list[tuple[float, LoadEstimate]]:
        typical_call_s = self.typical_call_s(query.route, query.objective_s)
        context = RankingContext(
            now,
            typical_call_s,
            _value_for_rank(RESERVED_SLOT_FRACTION_BY_RANK, query.rank),
            self._mean_calls_by_service.get(query.service.name, 0.0),
        )
        ranked = [
            (
                self._policy(estimate, context, self._rng)
                + self._distance_penalty_s(estimate.entry.domain, query.objective_s),
                estimate,
            )
            for estimate in estimates
        ]
        ranked.sort(key=lambda scored: scored[0])
        return ranked

    def _admit_if_in_time(
        self, now: float, estimate: LoadEstimate, query: TargetQuery
    ) -> LoadEstimate | NoTarget:
        """Return the target, or refuse the request if it would probably not finish in time."""
        typical_call_s = self.typical_call_s(query.route, query.objective_s)
        finish_s = estimate.finish_s(now, typical_call_s) + self._round_trip_s(
            estimate.entry.domain
        )
        # A call may take twice its expected time without the queue in front of it. Another
        # instance can still serve the request, so it is not sent where it may have to be aborted.
        if finish_s + estimate.call_s(now, typical_call_s) > query.until_abort_s:
            return NoTarget(NoTargetReason.INSTANCE_STOPPING, MIN_RETRY_AFTER_S)
        if estimate.has_free_slot(now):
            lateness_s = MIN_TIME_FRACTION * finish_s - query.remaining_s
        else:
            fraction = _value_for_rank(QUEUED_FINISH_FRACTION_BY_RANK, query.rank)
            lateness_s = finish_s - min(query.remaining_s, fraction * query.objective_s)
        if lateness_s <= 0.0:
            return estimate
        return NoTarget(
            NoTargetReason.TOO_LATE, min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, lateness_s))
        )

    def _may_send_to_cold(self, now: float, estimate: LoadEstimate, service: Service) -> bool:
        if not estimate.is_cold(now) or service.cold_requests_per_s <= 0.0:
            return True
        entry = estimate.entry
        return self._cold_limiter.may_send(
            now, entry.target_id, entry.domain, service.cold_requests_per_s, self._instances
        )

    def _responsive(
        self, now: float, estimates: list[LoadEstimate], query: TargetQuery, factor: float
    ) -> list[LoadEstimate]:
        """Return the targets that do not count as full for lack of a response."""
        if self._learner is None:
            return estimates
        typical_call_s = self.typical_call_s(query.route, query.objective_s)
        return [
            estimate
            for estimate in estimates
            if not estimate.is_unresponsive(now, typical_call_s, factor)
        ]

    def _is_allowed(self, entry: TargetEntry, query: TargetQuery) -> bool:
        return not query.regions or self._region_by_domain.get(entry.domain) in query.regions

    def _distance_penalty_s(self, domain: str, objective_s: float) -> float:
        if domain == self._domain:
            return 0.0
        if self._region_by_domain.get(domain) == self._region:
            return DOMAIN_CROSSING_PENALTY_FRACTION * objective_s
        return REGION_CROSSING_PENALTY_FRACTION * objective_s + REGION_ROUND_TRIP_S

    def is_in_own_region(self, domain: str) -> bool:
        """Return whether a failure domain is in the same region as this instance."""
        return self._region_by_domain.get(domain) == self._region

    def _round_trip_s(self, domain: str) -> float:
        return 0.0 if self.is_in_own_region(domain) else REGION_ROUND_TRIP_S


def _update_mean(mean_by_name: dict[str, float], name: str, value: float, weight: float) -> float:
    """Update a moving average, and return its former value, or ``value`` if there was none."""
    former = mean_by_name.get(name, value)
    mean_by_name[name] = former + weight * (value - former)
    return former


def _value_for_rank(value_by_rank: tuple[float, ...], rank: int) -> float:
    return value_by_rank[min(rank, len(value_by_rank) - 1)]
