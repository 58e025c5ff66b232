"""Runs a call and, if it is slow, a second call to another target."""

from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from damasktide.admission.request import BackendResponse
from damasktide.forwarding.failures import UpstreamFailure
from damasktide.forwarding.upstream import Destination

CallResult = BackendResponse | UpstreamFailure
Call = Callable[[Destination], CallResult]


class HedgedCall:
    """First call of a request and its hedge; the first complete response wins.

    Parameters
    ----------
    call
        Sends the request to a destination once.
    find_hedge_destination
        Returns the destination of the hedge, or None if no target or no retry budget is left.
    on_cancelled
        Called with the destination of a call that was cancelled.
    """

    def __init__(
        self,
        call: Call,
        find_hedge_destination: Callable[[], Destination | None],
        on_cancelled: Callable[[Destination], None],
    ) -> None:
        self._call = call
        self._find_hedge_destination = find_hedge_destination
        self._on_cancelled = on_cancelled
        self._result: AsyncResult = AsyncResult()
        self._pending_calls = 0

    def run(self, first: Destination, delay_s: float) -> CallResult:
        """Call ``first``, and hedge if there is no result after ``delay_s`` seconds."""
        started = [(first, self._start(first))]
        try:
            try:
                return self._wait(delay_s)
            except gevent.Timeout:
                second = self._find_hedge_destination()
            if second is not None:
                started.append((second, self._start(second)))
            return self._wait(None)
        finally:
            self._cancel(started)

    def _start(self, destination: Destination) -> gevent.Greenlet:
        self._pending_calls += 1
        return gevent.spawn(self._run_call, destination)

    def _run_call(self, destination: Destination) -> None:
        result = self._call(destination)
        self._pending_calls -= 1
        # A failure becomes the result only if no other call is still pending.
        if isinstance(result, BackendResponse) or self._pending_calls == 0:
            self._result.set(result)

    def _wait(self, timeout_s: float | None) -> CallResult:
        result: CallResult = self._result.get(timeout=timeout_s)
        return result

    def _cancel(self, started: list[tuple[Destination, gevent.Greenlet]]) -> None:
        for destination, greenlet in started:
            if not greenlet.ready():
                greenlet.kill(block=False)
                self._on_cancelled(destination)
