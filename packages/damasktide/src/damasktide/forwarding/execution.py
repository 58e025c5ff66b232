"""Chooses the executor of a request: the instance that sends it to a backend server."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from damasktide.admission.request import AdmittedRequest
from damasktide.balancing.targets import Target
from damasktide.idempotency.placement import deduplicator_of_request, deduplicator_of_shard
from damasktide.limits.shares import instances_in_slot_order
from damasktide.limits.slot_share import SlotShare
from damasktide.membership.instances import Instance
from damasktide.ownership.shard_map import OwnerServer

# Longer than it takes until a new instance has its shares of the targets.
NEW_INSTANCE_GRACE_S = 3.0


@dataclass(frozen=True, slots=True)
class ExecutionView:
    """View of the cluster from which this instance chooses the executor of a request.

    Attributes
    ----------
    own
        This instance.
    alive
        Instances believed to be alive, this one included.
    first_seen_at_by_id
        Monotonic time in seconds at which each of them was first observed to be alive.
    target_by_id
        Listed backend servers.
    """

    own: Instance
    alive: Sequence[Instance] = ()
    first_seen_at_by_id: Mapping[str, float] = field(default_factory=dict)
    target_by_id: Mapping[str, Target] = field(default_factory=dict)

    def executors_in(self, domain: str, now: float) -> list[Instance]:
        """Return the instances of a failure domain that may run requests.

        An instance that has just joined has no share of any target yet, so it is excluded
        unless all instances of the domain are new.
        """
        alive = [instance for instance in self.alive if instance.domain == domain]
        settled = [
            instance
            for instance in alive
            if now - self.first_seen_at_by_id.get(instance.instance_id, now)
            >= NEW_INSTANCE_GRACE_S
        ]
        return settled or alive


def executor_of_keyed(
    view: ExecutionView,
    admitted: AdmittedRequest,
    owner: OwnerServer,
    shard: int,
    grants_checked: bool,
    own_share: SlotShare,
    now: float,
) -> str:
    """Return the id of the instance that sends a keyed request to its owner.

    Non-idempotent requests go through the deduplicator of the shard. So do all requests to
    backend servers that do not check grants, because only instances in the owner's failure
    domain may send those. This instance sends the other requests itself if it has a slot of
    the owner.
    """
    target = view.target_by_id.get(owner.server_id)
    has_slot = target is None or own_share.of(target.slots) > 0
    if admitted.is_idempotent and grants_checked and has_slot:
        return view.own.instance_id
    candidates = view.executors_in(owner.domain, now)
    if target is not None:
        # Only the first instances in slot order have a slot of the owner.
        candidates = instances_in_slot_order(candidates, target)[: target.slots]
    ids = [instance.instance_id for instance in candidates]
    deduplicator_id = deduplicator_of_shard(ids, admitted.request.service, shard)
    return deduplicator_id if deduplicator_id is not None else view.own.instance_id


def executor_of_unkeyed(view: ExecutionView, admitted: AdmittedRequest, now: float) -> str:
    """Return the id of the instance that sends an unkeyed request to a target."""
    if admitted.is_idempotent:
        return view.own.instance_id
    ids = [instance.instance_id for instance in view.executors_in(view.own.domain, now)]
    request = admitted.request
    deduplicator_id = deduplicator_of_request(ids, request.service, request.request_id)
    return deduplicator_id if deduplicator_id is not None else view.own.instance_id
