"""Distribution of this instance's shares to the tasks that use them."""

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

PEER_CONTACT_INTERVAL_S = 0.2


class ShareDistributor:
    """Passes topology and shares on to other tasks; runs in the greenlets of their senders.

    Parameters
    ----------
    tasks_by_service
        Tasks of each service.
    view
        Snapshot for the selection of executors; published by the topology task.
    shares
        Snapshot of the shares; published by the limiter.
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

    def apply_topology(self, topology: Topology, limiter: LimiterTask) -> None:
        """Publish live instances and targets, and send them to the limiter."""
        alive = topology.alive_instances()
        now = time.monotonic()
        known_first_seen_at_by_id = self._view.value.first_seen_at_by_id
        self._view.publish(
            replace(
                self._view.value,
                alive=alive,
                first_seen_at_by_id={
                    instance.instance_id: known_first_seen_at_by_id.get(instance.instance_id, now)
                    for instance in alive
                },
                target_by_id={target.server_id: target for target in topology.targets},
            )
        )
        members = tuple(
            Member(instance, topology.membership.state_by_id[instance_id])
            for instance_id, instance in topology.membership.instance_by_id.items()
        )
        limiter.tell(MembersChanged(members))
        for service in self._tasks_by_service:
            limiter.tell(ServiceTargetsChanged(service, topology.usable_targets(service)))

    def distribute(self, shares: Shares) -> None:
        """Publish new shares and send them to the balancers.

        The balancers then report their slots to the limiter.
        """
        self._shares.publish(shares.share_by_server)
        link_bytes_per_s = LINK_BYTES_PER_S * shares.fraction
        for tasks in self._tasks_by_service.values():
            tasks.balancer.tell(SharesChanged(shares.share_by_server, link_bytes_per_s))


class PeerContactTask(Task):
    """Notifies the limiter of contact with peers, which keeps this instance's shares valid.

    Parameters
    ----------
    membership
        Task that receives messages of peers.
    limiter
        Task that is notified.
    """

    def __init__(self, membership: MembershipTask, limiter: LimiterTask, **kwargs: Any) -> None:
        super().__init__("peer-contact", **kwargs)
        self._membership = membership
        self._limiter = limiter
        self._last_contact = float("-inf")

    @every(PEER_CONTACT_INTERVAL_S)
    def _check(self) -> None:
        last_contact = self._membership.last_contact
        if last_contact > self._last_contact:
            self._last_contact = last_contact
            self._limiter.tell(PeerContacted())
