"""The task that owns the balancer of one service."""

from collections.abc import Callable
from random import Random

from damasktide.balancing.balancer import Balancer
from damasktide.balancing.locality import LinkBudget, Locality
from damasktide.balancing.messages import (
    AskStatus,
    BalancerStatus,
    BootObserved,
    Done,
    LoadReported,
    NoPick,
    Pick,
    Picked,
    SharesChanged,
    TargetsChanged,
)
from damasktide.balancing.policies import balancing_policies
from damasktide.limits.slot_share import FULL_SHARE, SlotShare
from damasktide.runtime.clock import Clock, MonotonicClock
from damasktide.runtime.task import Task, TaskFailed, every, handles

REFRESH_INTERVAL_S = 0.1
# A snapshot costs more than a refresh, so it is taken less often while limits don't change.
STATUS_INTERVAL_S = 0.5


class BalancerTask(Task):
    """Owns the balancer of one service.

    Parameters
    ----------
    service
        Service whose targets it chooses.
    locality
        Location of this instance.
    policy
        Key in the registry of balancing policies.
    link_bytes_per_s
        This instance's share of the link between regions in bytes per second.
    rng
        Source of randomness.
    clock
        Source of time.
    initial_share
        Share of each target until the first :class:`SharesChanged`; ``NO_SHARE`` keeps a new
        instance from using slots that its peers have not released yet.
    on_status
        Called with a snapshot twice a second, after each change of targets or shares, and when
        a refresh changes limits; it must not block.
    on_failure
        Called when a handler raises outside an ``ask``.
    """

    def __init__(
        self,
        service: str,
        locality: Locality,
        policy: str,
        link_bytes_per_s: float,
        rng: Random | None = None,
        clock: Clock | None = None,
        initial_share: SlotShare = FULL_SHARE,
        on_status: Callable[[BalancerStatus], None] | None = None,
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__(f"balancer-{service}", on_failure)
        self._clock = clock or MonotonicClock()
        self._on_status = on_status
        link = LinkBudget(link_bytes_per_s, self._clock.now())
        balancing_policy = balancing_policies.get(policy)(rng or Random())
        self._balancer = Balancer(locality, balancing_policy, link, initial_share=initial_share)

    @every(REFRESH_INTERVAL_S)
    def _refresh(self) -> None:
        now = self._clock.now()
        if self._balancer.refresh(now):
            self._publish(now)

    @every(STATUS_INTERVAL_S)
    def _publish_status(self) -> None:
        self._publish(self._clock.now())

    @handles(TargetsChanged)
    def _set_targets(self, message: TargetsChanged) -> None:
        now = self._clock.now()
        self._balancer.set_targets(now, message.targets)
        self._publish(now)

    @handles(SharesChanged)
    def _set_shares(self, message: SharesChanged) -> None:
        now = self._clock.now()
        self._balancer.set_shares(now, message)
        self._publish(now)

    @handles(Pick)
    def _pick(self, message: Pick) -> Picked | NoPick:
        return self._balancer.pick(self._clock.now(), message)

    @handles(Done)
    def _finish(self, message: Done) -> None:
        self._balancer.finish(self._clock.now(), message)

    @handles(LoadReported)
    def _record_load_report(self, message: LoadReported) -> None:
        self._balancer.record_load_report(self._clock.now(), message)

    @handles(BootObserved)
    def _observe_boot(self, message: BootObserved) -> None:
        self._balancer.observe_boot(self._clock.now(), message.server_id, message.boot_id)

    @handles(AskStatus)
    def _status(self, message: AskStatus) -> BalancerStatus:
        return self._balancer.status(self._clock.now())

    def _publish(self, now: float) -> None:
        if self._on_status is not None:
            self._on_status(self._balancer.status(now))
