import unittest
from unittest import mock

from damasktide.admission.refusals import Refusal, RefusalCode
from damasktide.admission.request import AdmittedRequest
from damasktide.balancing.messages import NoPick, NoPickReason, Picked
from damasktide.balancing.targets import Target
from damasktide.forwarding.destinations import ServiceRoute, find_owner
from damasktide.forwarding.hedging import HedgePlan
from damasktide.forwarding.upstream import Destination
from damasktide.ownership.messages import OwnerSnapshot
from damasktide.ownership.shard_map import OwnerServer, ShardMap
from damasktide.ownership.shards import ShardSpace
from damasktide.runtime.published import Published

SPACE = ShardSpace(6, ("ondo", "oyo"))
SERVER = OwnerServer("s1", "ondo-a", "ondo", "127.0.0.1", 1)


PICKED = Picked(Target("s1", "lot-ledger", "ondo-a", "ondo", "127.0.0.1", 1))


def route(grants_checked: bool, domain: str, reply: Picked | NoPick = PICKED) -> ServiceRoute:
    shard_map = ShardMap("lot-ledger", 3, (SERVER,), (0,) * 6)
    snapshot = OwnerSnapshot(shard_map, (SERVER,) * 5 + (None,), renewal_lease_until=9.0)
    return ServiceRoute(
        "lot-ledger",
        domain,
        SPACE,
        Published(snapshot),
        max_deadline_s=0.3,
        grants_checked=grants_checked,
        balancer=mock.Mock(ask=lambda _pick: reply),
        hedging=mock.Mock(),
        hedge_plan=Published(HedgePlan()),
    )


def find(service_route: ServiceRoute, key: str, regions: set[str]) -> Destination | Refusal:
    request = mock.Mock(key=key, body=b"")
    admitted = AdmittedRequest(request, "crew", frozenset(regions), False, True)
    return find_owner(service_route, admitted, ())


class FindOwnerTest(unittest.TestCase):
    def test_server_without_grant_checks_is_called_from_its_own_domain_only(self) -> None:
        """Guards against a sender whose renewal lease does not cover the owner's domain."""
        near = find(route(False, "ondo-a"), "ondo:lot-1", {"ondo"})
        assert isinstance(near, Destination)
        self.assertEqual([near.renewal_lease_until, near.max_call_s], [9.0, 0.3])
        far = find(route(False, "ondo-b"), "ondo:lot-1", {"ondo"})
        assert isinstance(far, Refusal)
        self.assertEqual(far.code, RefusalCode.NO_OWNER)
        checked = find(route(True, "ondo-b"), "ondo:lot-1", {"ondo"})
        assert isinstance(checked, Destination)
        self.assertIsNone(checked.renewal_lease_until)

    def test_owner_without_a_free_slot_is_not_called(self) -> None:
        """Guards against overloading a cold owner with keyed work."""
        full = route(True, "ondo-a", NoPick(NoPickReason.NO_FREE_SLOT))
        refusal = find(full, "ondo:lot-1", {"ondo"})
        assert isinstance(refusal, Refusal)
        self.assertEqual(refusal.code, RefusalCode.OVERLOADED)
        leaving = find(route(True, "ondo-a", NoPick(NoPickReason.LEAVING)), "ondo:x", {"ondo"})
        assert isinstance(leaving, Destination)
        self.assertFalse(leaving.has_balancer_slot)

    def test_request_never_leaves_its_allowed_regions(self) -> None:
        """Guards against a request that is sent to an owner outside its home regions."""
        refusal = find(route(True, "ondo-a"), "lot-1", {"oyo"})
        assert isinstance(refusal, Refusal)
        self.assertEqual(refusal.code, RefusalCode.REGION_UNAVAILABLE)

    def test_shard_with_a_pending_move_has_no_owner(self) -> None:
        """Guards against sending to a server that may not own the key any more."""
        keys = (f"oyo:lot-{number}" for number in range(100))
        key = next(key for key in keys if SPACE.shard_of(key) == 5)
        refusal = find(route(True, "ondo-a"), key, {"ondo", "oyo"})
        assert isinstance(refusal, Refusal)
        self.assertEqual(refusal.code, RefusalCode.NO_OWNER)


if __name__ == "__main__":
    unittest.main()
