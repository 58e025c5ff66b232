"""Commands to a target that sends second copies of its responses, over loopback sockets."""

import unittest
from collections.abc import Iterator
from contextlib import contextmanager

from gevent import sleep, socket
from gevent.queue import Queue

from damasktide.http1.messages import ResponseHead, encode_request
from damasktide.http1.tests.loopback_server import running_server
from damasktide.keyspace.command_sender import CommandSender
from damasktide.keyspace.messages import CommandResult, Grant, GrantEnded, Release, ReleaseEnded
from damasktide.runtime.clock import LeaseClock
from damasktide.runtime.task import Stop
from damasktide.targets.target import TargetEntry, TargetState

TIMEOUT_S = 5.0
# A response to a command needs no body; this is what a call may read of one.
MAX_KEPT_BYTES = 100_000
# What the sockets on both sides buffer, in addition to what the receiver has read.
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
ACCEPTED = b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"
FENCED = b"HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n"


class PlainCodec:
    """Sends the fencing token as the path; 200 is accepted and any other status is fenced."""

    def grant_request(self, grant: Grant) -> bytes:
        return encode_request(b"POST", b"/%d" % grant.fence, (), b"")

    def release_request(self, release: Release) -> bytes:
        return encode_request(b"POST", b"/%d" % release.fence, (), b"")

    def result(self, head: ResponseHead) -> CommandResult:
        return CommandResult.ACCEPTED if head.status == 200 else CommandResult.FENCED

    def handover(self, head: ResponseHead) -> str | None:
        return None


class StutteringTarget:
    """Accepts the token 1 and no other, and sends each response again before the next one."""

    def __init__(self) -> None:
        self.connection_count = 0

    def handle(self, sock: socket.socket, address: object) -> None:
        self.connection_count += 1
        late_copy = b""
        while data := sock.recv(65_536):
            response = ACCEPTED if data.startswith(b"POST /1 ") else FENCED
            sock.sendall(late_copy + response)
            late_copy = response


class CommandSenderCase(unittest.TestCase):
    """Runs a sender against a target."""

    def setUp(self) -> None:
        self.target = StutteringTarget()
        self.ended: Queue = Queue()

    @contextmanager
    def running_sender(self) -> Iterator[CommandSender]:
        with running_server(self.target.handle) as self.address:
            sender = CommandSender(self.address, PlainCodec(), self.ended.put)
            sender.start()
            try:
                yield sender
            finally:
                sender.tell(Stop())

    def result(self, sender: CommandSender, fence: int) -> CommandResult:
        entry = TargetEntry("t", 1, "s", "a1", self.address, 1, TargetState.READY)
        now = LeaseClock().now()
        sender.tell(Grant(entry, 0, 99, fence, 1.5, now, now + TIMEOUT_S))
        ended: GrantEnded | ReleaseEnded = self.ended.get(timeout=TIMEOUT_S)
        # The sender keeps a connection only if nothing more arrives on it.
        sleep(0.01)
        return ended.result


class TestLateCopies(CommandSenderCase):
    def test_copy_of_the_response_to_a_grant_does_not_accept_the_next_one(self) -> None:
        """Guards against a barrier that counts as accepted before the target has executed it.

        The next holder would be granted keys that the previous one may still be given back.
        """
        with self.running_sender() as sender:
            self.assertIs(self.result(sender, fence=1), CommandResult.ACCEPTED)
            self.assertIs(self.result(sender, fence=2), CommandResult.FENCED)

    def test_renewals_share_a_connection(self) -> None:
        """Guards against a new connection for each renewal, which costs the target time."""
        with self.running_sender() as sender:
            for _ in range(4):
                self.assertIs(self.result(sender, fence=1), CommandResult.ACCEPTED)
        self.assertLessEqual(self.target.connection_count, 2)


class EndlessTarget(StutteringTarget):
    """Accepts each grant with a body without end."""

    def __init__(self) -> None:
        super().__init__()
        self.sent_bytes = 0

    def handle(self, sock: socket.socket, address: object) -> None:
        sock.recv(65_536)
        try:
            sock.sendall(b"HTTP/1.1 200 X\r\n\r\n")
            while True:
                sock.sendall(b"x" * 65_536)
                self.sent_bytes += 65_536
                sleep(0)
        except OSError:
            # The sender has closed the connection.
            return


class TestEndlessResponses(CommandSenderCase):
    def setUp(self) -> None:
        super().setUp()
        self.target = self.endless = EndlessTarget()

    def test_body_without_end_ends_the_call(self) -> None:
        """Guards against a leader that keeps the bodies of faulty targets, up to 16 MB each."""
        with self.running_sender() as sender:
            self.assertIs(self.result(sender, fence=1), CommandResult.FAILED)
        self.assertLess(self.endless.sent_bytes, MAX_KEPT_BYTES + SOCKET_BUFFER_BYTES)
