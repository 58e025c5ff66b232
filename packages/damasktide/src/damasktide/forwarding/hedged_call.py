"""Runs a call and, if it takes long, a second one at another target."""

from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from damasktide.admission.request import BackendResponse
from damasktide.forwarding.failures import UpstreamFailure
from damasktide.forwarding.upstream import Destination

CallResult = BackendResponse | UpstreamFailure
Call = Callable[[Destination], CallResult]


class HedgedCall:
    """One request's first call and its hedge; the first whole answer wins.

    Parameters
    ----------
    call
        Sends the request to a destination once.
    second_destination
        Returns the destination of the hedge, or None if there is none or no budget for it.
    on_cancelled
        Called with the destination whose call was given up.
    """

    def __init__(
        self,
        call: Call,
        second_destination: Callable[[], Destination | None],
        on_cancelled: Callable[[Destination], None],
    ) -> None:
        self._call = call
        self._second_destination = second_destination
        self._on_cancelled = on_cancelled
        self._answered: AsyncResult = AsyncResult()
        self._open_calls = 0

    def run(self, first: Destination, delay_s: float) -> CallResult:
        """Call ``first`` and hedge after ``delay_s`` seconds."""
        started = [(first, self._start(first))]
        try:
            try:
                return self._wait(delay_s)
            except gevent.Timeout:
                second = self._second_destination()
            if second is not None:
                started.append((second, self._start(second)))
            return self._wait(None)
        finally:
            self._cancel(started)

    def _start(self, destination: Destination) -> gevent.Greenlet:
        self._open_calls += 1
        return gevent.spawn(self._run_call, destination)

    def _run_call(self, destination: Destination) -> None:
        result = self._call(destination)
        self._open_calls -= 1
        # A failure decides only when no other call can still answer.
        if isinstance(result, BackendResponse) or self._open_calls == 0:
            self._answered.set(result)

    def _wait(self, timeout_s: float | None) -> CallResult:
        result: CallResult = self._answered.get(timeout=timeout_s)
        return result

    def _cancel(self, started: list[tuple[Destination, gevent.Greenlet]]) -> None:
        for destination, greenlet in started:
            if not greenlet.ready():
                greenlet.kill(block=False)
                self._on_cancelled(destination)
