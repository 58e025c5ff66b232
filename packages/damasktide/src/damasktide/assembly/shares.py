"""Hands the shares of this instance to the tasks that use them."""

import time
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from damasktide.assembly.services import LINK_BYTES_PER_S, ServiceTasks
from damasktide.balancing.messages import SharesChanged
from damasktide.discovery.topology import Topology
from damasktide.forwarding.execution import ExecutionView
from damasktide.limits.members import Member
from damasktide.limits.messages import MembersChanged, PeerContacted, ServiceTargetsChanged
from damasktide.limits.slot_share import SlotShare
from damasktide.limits.task import LimiterTask, Shares
from damasktide.membership.task import MembershipTask
from damasktide.runtime.published import Published
from damasktide.runtime.task import Task, every

PEER_CONTACT_PERIOD_S = 0.2


class ShareDistributor:
    """Connects topology, limiter and balancers; runs in the greenlets of these tasks.

    Parameters
    ----------
    tasks_by_service
        Tasks of each service.
    view
        Snapshot for the choice of executors; published from the topology task.
    shares
        Snapshot of the shares; published from the limiter.
    """

    def __init__(
        self,
        tasks_by_service: Mapping[str, ServiceTasks],
        view: Published[ExecutionView],
        shares: Published[Mapping[str, SlotShare]],
    ) -> None:
        self._tasks_by_service = tasks_by_service
        self._view = view
        self._shares = shares

    def see_topology(self, topology: Topology, limiter: LimiterTask) -> None:
        """Take over live instances and targets."""
        alive = topology.alive_instances()
        now = time.monotonic()
        known = self._view.value.seen_at_by_id
        self._view.publish(
            replace(
                self._view.value,
                alive=alive,
                seen_at_by_id={one.instance_id: known.get(one.instance_id, now) for one in alive},
                target_by_id={target.server_id: target for target in topology.targets},
            )
        )
        members = tuple(
            Member(instance, topology.seen.state_by_id[instance_id])
            for instance_id, instance in topology.seen.instance_by_id.items()
        )
        limiter.tell(MembersChanged(members))
        for service in self._tasks_by_service:
            limiter.tell(ServiceTargetsChanged(service, topology.usable_targets(service)))

    def distribute(self, shares: Shares) -> None:
        """Take over new shares; the balancers then report their slots to the limiter."""
        self._shares.publish(shares.share_by_server)
        link_bytes_per_s = LINK_BYTES_PER_S * shares.fraction
        for tasks in self._tasks_by_service.values():
            tasks.balancer.tell(SharesChanged(shares.share_by_server, link_bytes_per_s))


class PeerContactTask(Task):
    """Tells the limiter that peers are heard, which keeps the shares of this instance alive.

    Parameters
    ----------
    membership
        Task that hears from peers.
    limiter
        Task that is told.
    """

    def __init__(self, membership: MembershipTask, limiter: LimiterTask, **kwargs: Any) -> None:
        super().__init__("peer-contact", **kwargs)
        self._membership = membership
        self._limiter = limiter
        self._last_contact = float("-inf")

    @every(PEER_CONTACT_PERIOD_S)
    def _check(self) -> None:
        last_contact = self._membership.last_contact
        if last_contact > self._last_contact:
            self._last_contact = last_contact
            self._limiter.tell(PeerContacted())
