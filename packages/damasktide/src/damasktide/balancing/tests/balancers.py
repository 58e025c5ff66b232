"""Helpers that create balancers and targets for the tests of this package."""

from collections import Counter
from random import Random

from damasktide.balancing.balancer import Balancer
from damasktide.balancing.locality import LinkBudget, Locality
from damasktide.balancing.messages import NoPick, Pick, Picked
from damasktide.balancing.outliers import OutlierDetector
from damasktide.balancing.policies import balancing_policies
from damasktide.balancing.targets import Target

OWN_LOCALITY = Locality("north-a", "north")


def target(name: str, domain: str = "north-a", region: str = "north") -> Target:
    return Target(name, "desk", domain, region, "127.0.0.1", 1)


def near_targets(count: int) -> tuple[Target, ...]:
    return tuple(target(f"s{index}") for index in range(count))


def balancer(
    targets: tuple[Target, ...],
    policy: str = "power_of_two",
    link_bytes_per_s: float = 1000.0,
    detector: OutlierDetector | None = None,
    seed: int = 1,
) -> Balancer:
    balancing_policy = balancing_policies.get(policy)(Random(seed))
    result = Balancer(OWN_LOCALITY, balancing_policy, LinkBudget(link_bytes_per_s, 0.0), detector)
    result.set_targets(0.0, targets)
    return result


def picked_server_id(reply: Picked | NoPick) -> str:
    assert isinstance(reply, Picked), reply
    return reply.target.server_id


def fill_slots(subject: Balancer, now: float, request: Pick | None = None) -> Counter[str]:
    taken: Counter[str] = Counter()
    while isinstance(reply := subject.pick(now, request or Pick()), Picked):
        taken[reply.target.server_id] += 1
    return taken
