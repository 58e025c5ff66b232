"""Load balancing for one service, independent of tasks and clocks."""

from collections.abc import Iterable, Sequence

from damasktide.balancing.locality import LEVELS, OTHER_REGION, LinkBudget, Locality
from damasktide.balancing.messages import (
    BalancerStatus,
    CallOutcome,
    Done,
    LoadReported,
    NoPick,
    NoPickReason,
    Pick,
    Picked,
    SharesChanged,
    TargetStatus,
)
from damasktide.balancing.outliers import (
    OutlierDetector,
    is_slow,
    is_slow_call,
    median_latency_s,
)
from damasktide.balancing.policies import BalancingPolicy
from damasktide.balancing.state import TargetStats
from damasktide.balancing.targets import Target
from damasktide.limits.slot_share import FULL_SHARE, NO_SHARE, SlotShare


class Balancer:
    """Chooses targets of one service and tracks their state.

    Parameters
    ----------
    locality
        Location of this instance.
    policy
        Chooses among the targets of the nearest level that has a free slot.
    link
        Byte budget of the link between regions.
    detector
        Ejects outliers.
    initial_share
        Share of each target until the limits package has computed the shares.
    """

    def __init__(
        self,
        locality: Locality,
        policy: BalancingPolicy,
        link: LinkBudget,
        detector: OutlierDetector | None = None,
        initial_share: SlotShare = FULL_SHARE,
    ) -> None:
        self._initial_share = initial_share
        self._locality = locality
        self._policy = policy
        self._link = link
        self._detector = detector or OutlierDetector()
        self._state_by_server: dict[str, TargetStats] = {}
        self._departed_by_server: dict[str, TargetStats] = {}
        self._states_by_level: tuple[list[TargetStats], ...] = tuple([] for _ in LEVELS)
        self._share_by_server: dict[str, SlotShare] | None = None
        self._median_s = 0.0
        self._has_received_targets = False

    def set_targets(self, now: float, targets: Iterable[Target]) -> None:
        """Replace the targets; targets that are no longer listed get no new work."""
        known = {**self._departed_by_server, **self._state_by_server}
        present = {target.server_id: self._state_of(now, target, known) for target in targets}
        self._departed_by_server = {
            server_id: state
            for server_id, state in known.items()
            if server_id not in present and state.in_flight
        }
        self._state_by_server = present
        for level, states in zip(LEVELS, self._states_by_level, strict=True):
            states[:] = [state for state in present.values() if state.level == level]
        self._has_received_targets = True
        self.refresh(now)

    def set_shares(self, now: float, shares: SharesChanged) -> None:
        """Replace this instance's shares."""
        self._share_by_server = dict(shares.share_by_server)
        for server_id, state in self._state_by_server.items():
            state.share = self._share_of(server_id)
        self._link.set_rate(shares.link_bytes_per_s, now)
        self.refresh(now)

    def pick(self, now: float, request: Pick) -> Picked | NoPick:
        """Choose a target and take one of its slots."""
        choice = (
            self._choose(now, request)
            if request.owner is None
            else self._choose_owner(request.owner, request)
        )
        if isinstance(choice, NoPickReason):
            return NoPick(choice)
        choice.in_flight += 1
        if choice.level == OTHER_REGION:
            self._link.count(now, request.link_bytes)
        return Picked(choice.target)

    def finish(self, now: float, done: Done) -> None:
        """Free the slot of a call and record its outcome and latency."""
        state = self._state_by_server.get(done.server_id)
        if state is None:
            self._finish_departed(done.server_id)
            return
        state.in_flight = max(0, state.in_flight - 1)
        if state.level == OTHER_REGION:
            self._link.count(now, done.link_bytes)
        self._record_outcome(now, state, done)

    def record_load_report(self, now: float, report: LoadReported) -> None:
        """Record a target's own load report."""
        state = self._state_by_server.get(report.server_id)
        if state is not None:
            state.add_report(now, report.in_flight, report.age_s)
            self.observe_boot(now, report.server_id, report.boot_id)

    def observe_boot(self, now: float, server_id: str, boot_id: str) -> None:
        """Record a boot id; a new one starts the cold-start ramp."""
        state = self._state_by_server.get(server_id)
        if state is not None and state.ramp.on_boot(now, boot_id):
            state.refresh_limit(now)

    def refresh(self, now: float) -> bool:
        """Update ejections and ramps, and return whether any limit changed.

        Call this a few times a second.
        """
        states = list(self._state_by_server.values())
        self._median_s = median_latency_s(states)
        self._detector.update_ejections(states, now, self._median_s)
        # any() would stop at the first change and leave later limits outdated.
        return sum(state.refresh_limit(now) for state in states) > 0

    def status(self, now: float) -> BalancerStatus:
        """Return a snapshot of all targets."""
        status_by_server = {
            server_id: TargetStatus(
                in_flight=state.in_flight,
                limit=state.limit,
                keyed_limit=state.keyed_limit,
                latency_s=state.latency_s(now, self._median_s),
                is_ejected=state.ejected_until is not None,
                is_ramping=state.ramp.is_active(now),
                is_slow=is_slow(state, now, self._median_s),
            )
            for server_id, state in self._state_by_server.items()
        }
        return BalancerStatus(status_by_server, self._link.counted_bytes)

    def _state_of(self, now: float, target: Target, known: dict[str, TargetStats]) -> TargetStats:
        state = known.get(target.server_id)
        if state is not None:
            state.target = target
            state.level = self._locality.level_of(target)
            return state
        state = TargetStats(target, self._locality.level_of(target))
        state.share = self._share_of(target.server_id)
        if self._has_received_targets:
            # A target that appears after the first list has probably just started.
            state.ramp.start(now)
        return state

    def _share_of(self, server_id: str) -> SlotShare:
        if self._share_by_server is None:
            return self._initial_share
        return self._share_by_server.get(server_id, NO_SHARE)

    def _choose(self, now: float, request: Pick) -> TargetStats | NoPickReason:
        reason = NoPickReason.NO_FREE_SLOT if self._state_by_server else NoPickReason.NO_TARGETS
        for level, states in zip(LEVELS, self._states_by_level, strict=True):
            candidates = _eligible_states(states, request)
            if not candidates:
                continue
            if level == OTHER_REGION and not self._link.allows(now, request.link_bytes):
                return NoPickReason.LINK_BUDGET
            return self._policy.choose(candidates, now, self._median_s)
        return reason if self._has_allowed_region(request) else NoPickReason.REGION_NOT_ALLOWED

    def _choose_owner(self, owner: str, request: Pick) -> TargetStats | NoPickReason:
        state = self._state_by_server.get(owner)
        if state is None:
            return NoPickReason.UNKNOWN_OWNER
        allowed = request.allowed_regions
        if allowed is not None and state.target.region not in allowed:
            return NoPickReason.REGION_NOT_ALLOWED
        if state.target.leaving:
            return NoPickReason.LEAVING
        # Ejection does not apply: only the owner may run keyed work.
        if state.in_flight >= state.keyed_limit:
            return NoPickReason.NO_FREE_SLOT
        return state

    def _has_allowed_region(self, request: Pick) -> bool:
        allowed = request.allowed_regions
        if allowed is None or not self._state_by_server:
            return True
        return any(state.target.region in allowed for state in self._state_by_server.values())

    def _finish_departed(self, server_id: str) -> None:
        state = self._departed_by_server.get(server_id)
        if state is None:
            return
        state.in_flight -= 1
        if state.in_flight <= 0:
            del self._departed_by_server[server_id]

    def _record_outcome(self, now: float, state: TargetStats, done: Done) -> None:
        outcome = done.outcome
        if outcome.is_failure:
            state.consecutive_failures += 1
            if outcome in (CallOutcome.RESET, CallOutcome.NOT_CONNECTED):
                state.ramp.on_reset(now)
            if outcome is CallOutcome.NOT_CONNECTED:
                state.add_refused_connection(now)
        elif outcome is CallOutcome.SHED:
            self._record_shed(now, state)
        if outcome in (CallOutcome.OK, CallOutcome.TIMED_OUT, CallOutcome.CANCELLED):
            self._record_latency(now, state, done)

    @staticmethod
    def _record_shed(now: float, state: TargetStats) -> None:
        # A shed request is as good as a load report, without delay, that all slots are taken.
        state.add_report(now, state.target.slots, 0.0)
        state.ramp.on_shed(now, state.target.slots)
        state.refresh_limit(now)

    def _record_latency(self, now: float, state: TargetStats, done: Done) -> None:
        latency_s, median_s = done.latency_s, self._median_s
        if done.outcome is CallOutcome.CANCELLED and latency_s < median_s:
            # A call that was cancelled before the median latency is no evidence of slowness.
            return
        state.add_latency(now, latency_s)
        if is_slow_call(latency_s, median_s, done.outcome):
            state.consecutive_slow += 1
        elif done.outcome is CallOutcome.OK:
            state.consecutive_slow = 0
        if done.outcome is CallOutcome.OK:
            state.consecutive_failures = 0
            state.refused_connections = 0
        if state.ramp.on_latency(now, latency_s, median_s):
            state.refresh_limit(now)


def _eligible_states(states: Sequence[TargetStats], request: Pick) -> list[TargetStats]:
    free = [state for state in states if state.in_flight < state.limit]
    if not free:
        return free
    if request.exclude:
        free = [state for state in free if state.target.server_id not in request.exclude]
    allowed = request.allowed_regions
    if allowed is not None:
        free = [state for state in free if state.target.region in allowed]
    return free
