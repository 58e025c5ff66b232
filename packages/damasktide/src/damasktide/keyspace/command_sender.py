"""Sends commands to one target; owns the connections to it."""

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
# A target responds to a release only after the work on the keys has ended.
RELEASE_TIMEOUT_S = 4.0
# Shorter than the idle timeout of the targets.
IDLE_LIMIT_S = 4.0
# Grants in flight at once. With one at a time, renewing more than six ranges of a target in
# another region would take longer than the renewal interval.
MAX_CONCURRENT_GRANTS = 4
# Responses to commands have no body that is used.
MAX_RESPONSE_BODY_BYTES = 64 * 1024


class CommandCodec(Protocol):
    """Encodes commands as requests and decodes their responses."""

    def grant_request(self, grant: Grant) -> bytes:
        """Return the encoded request of a grant."""

    def release_request(self, release: Release) -> bytes:
        """Return the encoded request of a release."""

    def result(self, head: ResponseHead) -> CommandResult:
        """Return the result that a response reports."""

    def handover(self, head: ResponseHead) -> str | None:
        """Return the handover in the response to a release, if there is one."""


class CommandSender(Task):
    """Sends a few grants concurrently, and each release at once on a connection of its own.

    The first call of each grant has a new connection too, because a response has no id that tells
    it from a late second copy of an earlier one. A copy could report a barrier as accepted that
    the target executes later, after its keys have moved. Renewals share connections: a renewal
    that is wrongly reported as accepted only makes a later move wait longer.

    Parameters
    ----------
    address
        Host and port of the target.
    codec
        Encodes commands and decodes responses.
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
        self._grant_pool = Pool(MAX_CONCURRENT_GRANTS)
        self._accepted_fence_by_range: dict[tuple[int, int], int] = {}
        # Grants decided before a failure are not sent after it: a new process may listen at the
        # address.
        self._failed_at = float("-inf")

    def on_stop(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()

    @handles(Grant)
    def _grant(self, grant: Grant) -> None:
        # Blocks while MAX_CONCURRENT_GRANTS are in flight.
        self._grant_pool.spawn(self._run_grant, grant)

    def _run_grant(self, grant: Grant) -> None:
        result = self._try_grant(grant) if self._may_send(grant) else CommandResult.NOT_SENT
        self._notify(GrantEnded(grant, result, self._clock.now()))

    def _may_send(self, grant: Grant) -> bool:
        return grant.issued_at > self._failed_at and self._clock.now() < grant.not_after

    @handles(Release)
    def _release(self, release: Release) -> None:
        gevent.spawn(self._run_release, release)

    def _try_grant(self, grant: Grant) -> CommandResult:
        connection = self._idle_connection() if self._is_renewal(grant) else None
        connection = connection or ServerConnection(self._address)
        try:
            if not connection.is_open:
                connection.connect(CONNECT_TIMEOUT_S)
            if not self._may_send(grant):
                connection.close()
                return CommandResult.NOT_SENT
            head = self._call(connection, self._codec.grant_request(grant), GRANT_TIMEOUT_S)
        except CallError as error:
            # A reset discards a grant that a network partition holds back.
            connection.reset()
            self._failed_at = self._clock.now()
            return _result_of(error)
        if connection.is_reusable() and len(self._idle) < MAX_CONCURRENT_GRANTS:
            connection.idle_since = monotonic()
            self._idle.append(connection)
        else:
            connection.close()
        result = self._codec.result(head)
        if result is CommandResult.ACCEPTED and not self._is_renewal(grant):
            self._record_accepted(grant)
        return result

    def _is_renewal(self, grant: Grant) -> bool:
        return self._accepted_fence_by_range.get((grant.first, grant.last)) == grant.fence

    def _record_accepted(self, grant: Grant) -> None:
        """Record the range of an accepted grant in place of all ranges that overlap it."""
        self._accepted_fence_by_range = {
            (first, last): fence
            for (first, last), fence in self._accepted_fence_by_range.items()
            if last < grant.first or first > grant.last
        }
        self._accepted_fence_by_range[grant.first, grant.last] = grant.fence

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
        head, _ = connection.exchange(
            request, b"POST", monotonic() + timeout_s, MAX_RESPONSE_BODY_BYTES
        )
        return head


def _result_of(error: CallError) -> CommandResult:
    logger.debug("command failed: {}", error)
    if error.is_refused:
        return CommandResult.REFUSED_CONNECTION
    if error.failure in (CallFailure.NOT_CONNECTED, CallFailure.NOT_SENT):
        return CommandResult.UNREACHABLE
    return CommandResult.FAILED
