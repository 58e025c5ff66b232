"""Sends orders to one target; owns the connections for it."""

from collections.abc import Callable
from time import monotonic
from typing import Protocol

import gevent
from gevent.pool import Pool
from loguru import logger

from damasktide.http1.errors import CallError, CallFailure
from damasktide.http1.messages import ResponseHead
from damasktide.http1.server_connection import ServerConnection
from damasktide.keyspace.messages import CommandResult, Grant, GrantEnded, Release, ReleaseEnded
from damasktide.runtime.clock import LeaseClock
from damasktide.runtime.task import Task, handles

CONNECT_TIMEOUT_S = 0.5
GRANT_TIMEOUT_S = 0.6
# A release is answered when the work on the keys has ended.
RELEASE_TIMEOUT_S = 4.0
# Shorter than the time after which targets close idle connections.
IDLE_LIMIT_S = 4.0
# Grants that are on their way at once. One after the other, a target in another region with more
# than six ranges would take longer than the renewal period.
GRANTS_AT_ONCE = 4


class CommandCodec(Protocol):
    """Writes orders as requests and reads their answers."""

    def grant_request(self, grant: Grant) -> bytes:
        """Return the request of a grant."""

    def release_request(self, release: Release) -> bytes:
        """Return the request of a release."""

    def result(self, head: ResponseHead) -> CommandResult:
        """Return what an answer says."""

    def handover(self, head: ResponseHead) -> str | None:
        """Return the handover in the answer to a release, if there is one."""


class CommandSender(Task):
    """Sends a few grants at once, and each release beside them.

    Parameters
    ----------
    address
        Host and port of the target.
    codec
        Writes and reads orders.
    notify
        Receives :class:`GrantEnded` and :class:`ReleaseEnded`.
    """

    def __init__(
        self,
        address: tuple[str, int],
        codec: CommandCodec,
        notify: Callable[[GrantEnded | ReleaseEnded], None],
    ) -> None:
        super().__init__(f"orders-{address[0]}:{address[1]}")
        self._address = address
        self._codec = codec
        self._notify = notify
        self._clock = LeaseClock()
        self._idle: list[ServerConnection] = []
        self._grants = Pool(GRANTS_AT_ONCE)
        # Grants decided before a failure are not sent after it: a new process may listen there.
        self._failed_at = float("-inf")

    def on_stop(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()

    @handles(Grant)
    def _grant(self, grant: Grant) -> None:
        # Waits while too many are on their way.
        self._grants.spawn(self._run_grant, grant)

    def _run_grant(self, grant: Grant) -> None:
        result = self._try_grant(grant) if self._is_due(grant) else CommandResult.NOT_SENT
        self._notify(GrantEnded(grant, result, self._clock.now()))

    def _is_due(self, grant: Grant) -> bool:
        return grant.issued_at > self._failed_at and self._clock.now() < grant.not_after

    @handles(Release)
    def _release(self, release: Release) -> None:
        gevent.spawn(self._run_release, release)

    def _try_grant(self, grant: Grant) -> CommandResult:
        connection = self._idle_connection() or ServerConnection(self._address)
        try:
            if not connection.is_open:
                connection.connect(CONNECT_TIMEOUT_S)
            if not self._is_due(grant):
                connection.close()
                return CommandResult.NOT_SENT
            head = self._call(connection, self._codec.grant_request(grant), GRANT_TIMEOUT_S)
        except CallError as error:
            # With a reset, a grant that a partition holds back is discarded.
            connection.reset()
            self._failed_at = self._clock.now()
            return _result_of(error)
        if connection.is_reusable():
            connection.idle_since = monotonic()
            self._idle.append(connection)
        else:
            connection.close()
        return self._codec.result(head)

    def _idle_connection(self) -> ServerConnection | None:
        while self._idle:
            connection = self._idle.pop()
            idle_s = monotonic() - connection.idle_since
            if idle_s < IDLE_LIMIT_S and not connection.has_unexpected_input():
                return connection
            connection.close()
        return None

    def _run_release(self, release: Release) -> None:
        connection = ServerConnection(self._address)
        handover = None
        try:
            connection.connect(CONNECT_TIMEOUT_S)
            request = self._codec.release_request(release)
            head = self._call(connection, request, RELEASE_TIMEOUT_S)
            result = self._codec.result(head)
            handover = self._codec.handover(head)
        except CallError as error:
            result = _result_of(error)
        finally:
            connection.reset()
        self._notify(ReleaseEnded(release, result, handover))

    @staticmethod
    def _call(connection: ServerConnection, request: bytes, timeout_s: float) -> ResponseHead:
        head, _ = connection.exchange(request, b"POST", monotonic() + timeout_s)
        return head


def _result_of(error: CallError) -> CommandResult:
    logger.debug("order failed: {}", error)
    if error.is_refused:
        return CommandResult.REFUSED_CONNECTION
    if error.failure in (CallFailure.NOT_CONNECTED, CallFailure.NOT_SENT):
        return CommandResult.UNREACHABLE
    return CommandResult.FAILED
