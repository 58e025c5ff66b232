import unittest

from damasktide.ownership.effects import ServerReply
from damasktide.ownership.reachability import Contact, ReachabilityTracker

SERVER = "s1"


def server_reply(now_ms: int, version: int, draining: int, accepted: bool = True) -> ServerReply:
    return ServerReply(accepted, "boot-1", "boot-1/0", now_ms, version, draining)


class ReachabilityTrackerTest(unittest.TestCase):
    def contact_after(self, *replies: ServerReply) -> Contact:
        reachability = ReachabilityTracker()
        reachability.watch({SERVER: 0.0})
        for index, response in enumerate(replies):
            reachability.record_reply(SERVER, response, index * 0.01)
        contact = reachability.get(SERVER)
        assert contact is not None
        return contact

    def test_out_of_order_response_does_not_hide_draining_requests(self) -> None:
        """Guards against completing a move while the old owner still drains the shard.

        The refusal is sent before the server accepts version 6, but arrives after that response.
        """
        contact = self.contact_after(
            server_reply(200, 6, 2), server_reply(100, 5, 0, accepted=False)
        )
        self.assertEqual((contact.accepted_version, contact.draining), (6, 2))

    def test_refusal_updates_the_state_of_the_server(self) -> None:
        """Guards against a move that waits although another renewer has fenced the server."""
        contact = self.contact_after(
            server_reply(100, 5, 2), server_reply(200, 6, 0, accepted=False)
        )
        self.assertEqual((contact.accepted_version, contact.draining), (6, 0))
