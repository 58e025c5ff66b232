"""Chooses the instance that runs a request."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from damasktide.admission.request import AdmittedRequest
from damasktide.balancing.targets import Target
from damasktide.idempotency.placement import deduplicator_of_request, deduplicator_of_shard
from damasktide.limits.shares import holders
from damasktide.limits.slot_share import SlotShare
from damasktide.membership.instances import Instance
from damasktide.ownership.shard_map import OwnerServer

# Longer than the time after which a new instance gets its shares.
SETTLE_S = 3.0


@dataclass(frozen=True, slots=True)
class ExecutionView:
    """What the choice depends on, as this instance sees it.

    Attributes
    ----------
    own
        This instance.
    alive
        Instances believed to be alive, this one included.
    seen_at_by_id
        Monotonic time in seconds at which each of them was first seen alive.
    target_by_id
        Listed backend servers.
    """

    own: Instance
    alive: Sequence[Instance] = ()
    seen_at_by_id: Mapping[str, float] = field(default_factory=dict)
    target_by_id: Mapping[str, Target] = field(default_factory=dict)

    def executors_in(self, domain: str, now: float) -> list[Instance]:
        """Return the instances of a failure domain that may run requests.

        An instance that has just joined has no share of any target yet, so it is left out
        while there are others.
        """
        alive = [instance for instance in self.alive if instance.domain == domain]
        settled = [
            instance
            for instance in alive
            if now - self.seen_at_by_id.get(instance.instance_id, now) >= SETTLE_S
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

    A request that must not run twice goes through the gatekeeper of its shard, as do all
    requests to servers that do not check grants, since only instances of the owner's failure
    domain may send those. Others are sent from here if this instance has a slot of the owner.
    """
    target = view.target_by_id.get(owner.server_id)
    has_slot = target is None or own_share.of(target.slots) > 0
    if admitted.is_idempotent and grants_checked and has_slot:
        return view.own.instance_id
    candidates = view.executors_in(owner.domain, now)
    if target is not None:
        candidates = holders(candidates, target)[: target.slots]
    ids = [instance.instance_id for instance in candidates]
    chosen = deduplicator_of_shard(ids, admitted.request.service, shard)
    return chosen if chosen is not None else view.own.instance_id


def executor_of_unkeyed(view: ExecutionView, admitted: AdmittedRequest, now: float) -> str:
    """Return the id of the instance that sends an unkeyed request to a target."""
    if admitted.is_idempotent:
        return view.own.instance_id
    ids = [instance.instance_id for instance in view.executors_in(view.own.domain, now)]
    request = admitted.request
    chosen = deduplicator_of_request(ids, request.service, request.request_id)
    return chosen if chosen is not None else view.own.instance_id
