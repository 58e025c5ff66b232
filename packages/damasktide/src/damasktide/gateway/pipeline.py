"""Serves pipelined requests of one connection concurrently, with responses in order."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from time import monotonic

import gevent
from gevent.event import Event
from loguru import logger

from damasktide.gateway.pipeline_order import (
    RESPONSE_RESERVE_BYTES,
    BufferBudget,
    PipelineOrder,
    Verdict,
)
from damasktide.gateway.request import MAX_BUFFERED_REQUEST_BYTES
from damasktide.http1.caller_connection import CallerConnection, InputState, PipelinedInput
from damasktide.http1.messages import RequestHead, encode_response


@dataclass(frozen=True, slots=True)
class PipelineRules:
    """What the pipelines of all connections share.

    Attributes
    ----------
    accepts
        Returns whether a request may be served at the same time as earlier ones.
    serve
        Serves a request and returns whether the connection can carry another one.
    is_stopping
        Returns whether no further request may be started.
    record_start
        Called when a pipelined request starts.
    record_bound
        Called when a bound prevents the start of a request.
    budget
        Memory for the pipelined requests of all connections.
    """

    accepts: Callable[[RequestHead], bool]
    serve: Callable[["PipelinedRequest", RequestHead], bool]
    is_stopping: Callable[[], bool]
    record_start: Callable[[], None]
    record_bound: Callable[[Verdict], None]
    budget: BufferBudget


class Pipeline:
    """Requests of one connection behind the one that the connection's greenlet serves.

    A greenlet that reads input exists only while there is input to read; each request has a
    greenlet of its own until its response has been written.

    Parameters
    ----------
    connection
        Connection of the caller.
    rules
        What the pipelines of all connections share.
    """

    def __init__(self, connection: CallerConnection, rules: PipelineRules) -> None:
        self._connection = connection
        self._rules = rules
        self._order = PipelineOrder(rules.budget)
        self._request_by_number: dict[int, PipelinedRequest] = {}
        self._reader: gevent.Greenlet | None = None
        # Whether requests have been read ahead since the connection's greenlet read one.
        self._is_used = False
        self._is_waiting = False
        self._bound: Verdict | None = None
        self._changed = Event()

    @property
    def has_requests(self) -> bool:
        """Whether requests behind that of the connection's greenlet are in flight."""
        return not self._order.is_empty

    def finish_first(self) -> bool:
        """Wait for the responses behind that of the connection's greenlet.

        Returns whether the connection can carry another request.
        """
        if not self._is_used:
            return True
        self._is_used = False
        self._order.set_predecessor(False)
        if not self._order.is_empty:
            self._wait_for_requests()
        self._stop_reading()
        return not self._order.has_ended

    def input_arrived(self) -> None:
        """Read requests from the input in a greenlet of its own.

        The connection calls this only while its own request allows others beside it.
        """
        self._is_used = True
        self._order.set_predecessor(not self._is_waiting)
        if self._reader is None:
            self._reader = gevent.spawn(self._read_requests)

    def disconnected(self) -> None:
        """Abort all requests, because the caller has left."""
        self._abort()

    def close(self) -> None:
        """Abort the requests that are still in flight."""
        self._abort()

    def may_write(self, number: int) -> bool:
        """Return whether the response of ``number`` may be written now.

        Raises
        ------
        OSError
            If the connection has ended.
        """
        if self._order.has_ended:
            raise ConnectionAbortedError("the connection of the caller has ended")
        return self._order.may_write(number)

    def is_last(self, number: int) -> bool:
        """Return whether no request behind ``number`` has been started."""
        return self._order.is_last(number)

    def hold(self, number: int, size: int) -> bool:
        """Count bytes of a response; return whether further ones may be read."""
        return self._order.hold(number, size)

    def release(self, number: int) -> None:
        """Stop counting the bytes of a response that were held."""
        self._order.release(number)

    def write(self, number: int, data: bytes) -> None:
        """Write to the caller and release what ``number`` holds.

        Raises
        ------
        OSError
            If the data cannot be written, which aborts all requests of the connection.
        """
        try:
            self._connection.send(data)
        except OSError:
            self._connection.disconnect()
            raise
        self._order.release(number)

    def _wait_for_requests(self) -> None:
        self._is_waiting = True
        self._connection.watch_for_disconnect(_ignore, may_read_ahead=True)
        self._advance()
        try:
            while not self._order.is_empty:
                self._changed.clear()
                self._changed.wait()
        finally:
            self._is_waiting = self._is_used = False

    def _stop_reading(self) -> None:
        """Leave the input to the connection's greenlet."""
        self._bound = None
        self._connection.stop_watching()
        if self._reader is not None:
            # The reader never blocks, so it has not started yet.
            self._reader.kill(block=False)
            self._reader = None

    def _read_requests(self) -> None:
        """Start requests from the input until a bound, its end or an unsuitable request."""
        self._reader = None
        self._bound = None
        while (verdict := self._order.verdict(self._rules.is_stopping())) is Verdict.START:
            request = self._connection.take_request(
                self._rules.accepts, MAX_BUFFERED_REQUEST_BYTES
            )
            if isinstance(request, PipelinedInput):
                self._start(request)
            elif request is InputState.UNSUITABLE:
                # The connection's greenlet reads it when all responses have been sent.
                self._connection.watch_for_reset()
                return
            elif not self._connection.receive_available():
                self._connection.watch_input()
                return
        if verdict is not Verdict.ENDED:
            self._bound = verdict
            self._rules.record_bound(verdict)
        if not self._order.has_ended:
            self._connection.watch_for_reset()

    def _start(self, request: PipelinedInput) -> None:
        number = self._order.start(len(request.body), request.head.keeps_alive)
        exchange = PipelinedRequest(self, number, request)
        self._request_by_number[number] = exchange
        self._rules.record_start()
        gevent.spawn(self._serve, exchange, request.head)

    def _serve(self, exchange: "PipelinedRequest", head: RequestHead) -> None:
        keeps_alive = False
        try:
            if not exchange.is_disconnected:
                keeps_alive = self._rules.serve(exchange, head)
        except OSError as error:
            logger.debug("response to a pipelined request not sent: {}", error)
        except Exception:
            # An error in one connection is logged and must not affect the others.
            logger.exception("unexpected error on a pipelined request")
        finally:
            self._finish(exchange.number, keeps_alive)

    def _finish(self, number: int, keeps_alive: bool) -> None:
        del self._request_by_number[number]
        self._order.finish(number, keeps_alive)
        if keeps_alive:
            self._advance()
        else:
            self._abort()
        self._changed.set()

    def _advance(self) -> None:
        """Let the next response be written, and read on if a bound had stopped that."""
        first = next(iter(self._request_by_number.values()), None)
        if first is not None:
            first.wake()
        if self._bound is not None:
            self.input_arrived()

    def _abort(self) -> None:
        self._order.has_ended = True
        for exchange in list(self._request_by_number.values()):
            exchange.abort()


class PipelinedRequest:
    """A complete request behind others, and its response.

    Parameters
    ----------
    pipeline
        Pipeline of the connection.
    number
        Number within the pipeline.
    request
        The request.

    Attributes
    ----------
    number
        Number within the pipeline.
    received_at
        Monotonic time in seconds at which the head was found in the input.
    is_body_read
        Always true, because only complete requests are pipelined.
    is_disconnected
        Whether the connection has ended.
    max_response_bytes
        Bytes up to which a response is read before a part of it is sent.
    """

    def __init__(self, pipeline: Pipeline, number: int, request: PipelinedInput) -> None:
        self._pipeline = pipeline
        self._body = request.body
        self._unsent: list[bytes] = []
        self._may_keep_more = True
        self._turn = Event()
        self._on_disconnect: Callable[[], None] | None = None
        self.number = number
        self.received_at = request.received_at
        self.is_body_read = True
        self.max_response_bytes = RESPONSE_RESERVE_BYTES
        self.is_disconnected = False

    @property
    def has_requests_behind(self) -> bool:
        """Whether requests behind this one have been started."""
        return not self._pipeline.is_last(self.number)

    def read_body(self) -> Iterator[bytes]:
        """Yield the body."""
        if self._body:
            yield self._body

    def send(self, data: bytes) -> None:
        """Write ``data``, or keep it until the responses before this one have been written.

        Raises
        ------
        OSError
            If the connection has ended.
        """
        if self._pipeline.may_write(self.number):
            self._write(data)
            return
        self._unsent.append(data)
        self._may_keep_more = self._pipeline.hold(self.number, len(data))

    def wait_to_send(self) -> float:
        """Wait for the responses before this one if a bound on kept data is exceeded.

        Returns the seconds waited.

        Raises
        ------
        OSError
            If the connection has ended.
        """
        if self._may_keep_more:
            return 0.0
        started_at = monotonic()
        self._wait_for_turn()
        self._may_keep_more = True
        return monotonic() - started_at

    def send_plain(self, status: int, reason: bytes, detail: str) -> None:
        """Send a plain-text response that announces the end of the connection."""
        headers = ((b"Content-Type", b"text/plain"), (b"Connection", b"close"))
        self.send(encode_response(status, reason, headers, f"{detail}\n".encode()))

    def flush(self) -> None:
        """Wait until the responses before this one have been written, then write what is kept.

        Raises
        ------
        OSError
            If the connection has ended.
        """
        self._wait_for_turn()
        self._write(b"")

    def discard_unsent(self) -> bool:
        """Discard the response; return False if a part of it has been written."""
        if not self._unsent:
            return False
        self._unsent.clear()
        self._may_keep_more = True
        self._pipeline.release(self.number)
        return True

    def watch_for_disconnect(
        self, on_disconnect: Callable[[], None], may_read_ahead: bool = False
    ) -> None:
        """Call ``on_disconnect`` once the connection has ended."""
        self._on_disconnect = on_disconnect
        if self.is_disconnected:
            on_disconnect()

    def stop_watching(self) -> None:
        """Stop watching the connection."""
        self._on_disconnect = None

    def wake(self) -> None:
        """Let :meth:`flush` check again whether the response may be written."""
        self._turn.set()

    def abort(self) -> None:
        """Abort the request because the connection has ended."""
        if self.is_disconnected:
            return
        self.is_disconnected = True
        if self._on_disconnect is not None:
            self._on_disconnect()
        self._turn.set()

    def _wait_for_turn(self) -> None:
        while not self._pipeline.may_write(self.number):
            self._turn.wait()
            self._turn.clear()

    def _write(self, data: bytes) -> None:
        data = b"".join((*self._unsent, data))
        self._unsent.clear()
        if data:
            self._pipeline.write(self.number, data)


def _ignore() -> None:
    """Do nothing, because the pipeline itself is notified of the disconnect."""
