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
from damasktide.limits.messages import (
    CapacityChanged,
    HeardFromPeer,
    MembersChanged,
    ServiceTargetsChanged,
)
from damasktide.limits.slot_share import NOTHING
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
        Snapshot for the choice of executors.
    """

    def __init__(
        self, tasks_by_service: Mapping[str, ServiceTasks], view: Published[ExecutionView]
    ) -> None:
        self._tasks_by_service = tasks_by_service
        self._view = view
        self.limiter: LimiterTask | None = None

    def see_topology(self, topology: Topology) -> None:
        """Take over live instances and targets."""
        target_by_id = {target.server_id: target for target in topology.targets}
        alive = topology.alive_instances()
        now = time.monotonic()
        known = self._view.value.seen_at_by_id
        seen_at_by_id = {item.instance_id: known.get(item.instance_id, now) for item in alive}
        self._view.publish(
            replace(
                self._view.value,
                alive=alive,
                seen_at_by_id=seen_at_by_id,
                target_by_id=target_by_id,
            )
        )
        assert self.limiter is not None
        members = tuple(
            Member(instance, topology.seen.state_by_id[instance_id])
            for instance_id, instance in topology.seen.instance_by_id.items()
        )
        self.limiter.tell(MembersChanged(members))
        for service in self._tasks_by_service:
            self.limiter.tell(ServiceTargetsChanged(service, topology.usable_targets(service)))

    def distribute(self, shares: Shares) -> None:
        """Take over new shares."""
        self._view.publish(replace(self._view.value, share_by_server=shares.share_by_server))
        for service, tasks in self._tasks_by_service.items():
            link_bytes_per_s = LINK_BYTES_PER_S
            tasks.balancer.tell(SharesChanged(shares.share_by_server, link_bytes_per_s))
            self._set_capacity(service, shares)

    def _set_capacity(self, service: str, shares: Shares) -> None:
        slots_by_server = {
            target.server_id: shares.share_by_server.get(target.server_id, NOTHING).of(
                target.slots
            )
            for target in self._view.value.target_by_id.values()
            if target.service == service
        }
        assert self.limiter is not None
        self.limiter.tell(CapacityChanged(service, sum(slots_by_server.values()), slots_by_server))


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
            self._limiter.tell(HeardFromPeer())
