"""Sends a request to one target after another until there is an answer or none can be had."""

from collections.abc import Callable, Mapping
from time import monotonic
from typing import Any

import gevent
from gevent.queue import Queue
from loguru import logger

from damasktide.dispatch.dispatcher import Dispatcher
from damasktide.dispatch.load_estimate import LoadReport
from damasktide.dispatch.messages import (
    CallOutcome,
    NoTarget,
    NoTargetReason,
    TargetQuery,
    TargetSelection,
)
from damasktide.dispatch.retry_allowance import RetryAllowance
from damasktide.gateway.admission import GatewayRequest
from damasktide.gateway.call import TargetCall, TargetResponse
from damasktide.gateway.refusals import Reason, Refusal, not_run
from damasktide.gateway.sends import Failed, Send
from damasktide.http1.errors import CallError, CallFailure
from damasktide.keyspace.key_map import KeyMap
from damasktide.targets.target import TargetEntry

# A request for a key that is changing hands waits at most this long for the new holder.
LONGEST_KEY_WAIT_S = 0.8
KEY_POLL_S = 0.05
# A target that was just made the holder accepts its grant within about a round trip.
MISDIRECTED_WAIT_S = 0.2
# An idempotent request is sent to a second target when the first has not answered after this many
# times the expected time.
HEDGE_FACTOR = 2.0
SHORTEST_HEDGE_DELAY_S = 0.1
# A target answers at the end of the time that it was given; its answer needs this long to arrive.
ANSWER_GRACE_S = 0.1
REFUSAL_RETRY_S = 0.3

OpenCall = Callable[[GatewayRequest, TargetEntry], TargetCall]


class Attempts:
    """The sends of one request; owned by the greenlet of its caller.

    Parameters
    ----------
    request
        The request.
    dispatcher
        Chooses targets.
    allowance
        Budget for further sends.
    maps
        Returns the maps of keyed services.
    instances
        Returns how many instances share the budget.
    open_call
        Makes a call to a target.
    on_report
        Called with the life of a target and the load that it reports.
    """

    def __init__(
        self,
        request: GatewayRequest,
        dispatcher: Dispatcher,
        allowance: RetryAllowance,
        maps: Callable[[], Mapping[str, KeyMap]],
        instances: Callable[[], int],
        open_call: OpenCall,
        on_report: Callable[[tuple[str, int], LoadReport], None] = lambda incarnation, report: (
            None
        ),
    ) -> None:
        self._request = request
        self._dispatcher = dispatcher
        self._allowance = allowance
        self._maps = maps
        self._instances = instances
        self._open_call = open_call
        self._on_report = on_report
        self._call: TargetCall | None = None
        self._open_sends: list[Send] = []
        self._last_moment = request.until + ANSWER_GRACE_S
        self._tried_ids: list[str] = []
        self._is_gone = False
        self._key_wait_until = 0.0

    @property
    def call(self) -> TargetCall | None:
        """The call that was answered; the rest of a long response is read from it."""
        return self._call

    def abort(self) -> None:
        """End the present calls because the caller has left."""
        self._is_gone = True
        for send in self._open_sends:
            send.call.abort()

    def run(self) -> TargetResponse | Refusal:
        """Return the answer of a target, or a refusal."""
        self._key_wait_until = min(
            self._request.until, self._request.received_at + LONGEST_KEY_WAIT_S
        )
        last: Failed | None = None
        while True:
            if self._is_gone:
                return Refusal(502, Reason.CALLER_GONE, "the caller has left")
            chosen = self._choose()
            if isinstance(chosen, Refusal):
                return self._give_up(chosen, last)
            if self._tried_ids:
                self._allowance.count_repeat(monotonic())
            result = self._send(chosen)
            if isinstance(result, TargetResponse):
                return result
            self._log_failure(chosen, result)
            last = self._worse(last, result)
            if not self._may_try_again(last):
                return self._give_up(None, last)
            if result.is_misdirected and self._request.service.is_keyed:
                # The holder has not accepted its grant yet, or the map here is behind.
                self._wait_for_map()

    def _choose(self) -> TargetSelection | Refusal:
        while True:
            now = monotonic()
            owner_id = None
            if self._request.service.is_keyed:
                located = self._locate_owner()
                if isinstance(located, Refusal):
                    if now >= self._key_wait_until or self._is_gone:
                        return located
                    gevent.sleep(KEY_POLL_S)
                    continue
                owner_id = located
            chosen = self._dispatcher.choose(now, self._wanted(now, owner_id))
            if isinstance(chosen, TargetSelection):
                return chosen
            if owner_id is not None and self._waits_for_owner(now, chosen):
                gevent.sleep(KEY_POLL_S)
                continue
            return self._refusal(chosen)

    def _waits_for_owner(self, now: float, not_chosen: NoTarget) -> bool:
        is_passing = not_chosen.reason in (
            NoTargetReason.OWNER_UNUSABLE,
            NoTargetReason.ALL_UNREACHABLE,
        )
        return is_passing and now < self._key_wait_until and not self._is_gone

    def _locate_owner(self) -> str | Refusal:
        key = self._request.metadata.key
        if key is None:
            return Refusal(400, Reason.MALFORMED, "the request names no key")
        key_map = self._maps().get(self._request.service.name)
        item = key_map.find(key) if key_map is not None else None
        if item is None:
            return not_run(Reason.NO_OWNER, "the key has no owner yet", REFUSAL_RETRY_S)
        if not item.is_settled:
            return not_run(Reason.NO_OWNER, "the key is changing hands", REFUSAL_RETRY_S)
        return item.holder[0]

    def _wait_for_map(self) -> None:
        """Wait for a newer map, or a moment."""
        service = self._request.service.name
        before = self._maps().get(service)
        until = min(self._request.until, monotonic() + MISDIRECTED_WAIT_S)
        while monotonic() < until and self._maps().get(service) is before and not self._is_gone:
            gevent.sleep(KEY_POLL_S)

    def _wanted(self, now: float, owner_id: str | None) -> TargetQuery:
        request = self._request
        return TargetQuery(
            request.service,
            request.route.name,
            request.route.objective_s,
            request.until - now,
            request.route.regions,
            request.rank,
            owner_id,
            frozenset(self._tried_ids),
        )

    def _send(self, chosen: TargetSelection) -> TargetResponse | Failed:
        send = self._begin(chosen)
        if isinstance(send, Failed):
            return send
        if not self._may_hedge():
            return self._finish(send)
        hedge_at = send.call.started_at + max(
            SHORTEST_HEDGE_DELAY_S, HEDGE_FACTOR * chosen.expected_s
        )
        try:
            send.call.wait_for_head(min(hedge_at, self._last_moment))
        except CallError as error:
            if error.failure is not CallFailure.TIMED_OUT:
                return self._failed(send, error)
            return self._race(send)
        return self._finish(send)

    def _begin(self, chosen: TargetSelection) -> Send | Failed:
        """Write the request to a target."""
        call = self._open_call(self._request, chosen.entry)
        send = Send(call, chosen)
        self._open_sends.append(send)
        body = self._request.body
        try:
            call.send(self._request.until, body.data, body.rest)
        except CallError as error:
            return self._failed(send, error)
        self._tried_ids.append(chosen.entry.target_id)
        return send

    def _finish(self, send: Send) -> TargetResponse | Failed:
        """Read the answer of a target."""
        try:
            answer = send.call.read_answer(self._last_moment)
        except CallError as error:
            return self._failed(send, error)
        return self._judge(send, answer)

    def _may_hedge(self) -> bool:
        request = self._request
        if not request.is_repeatable or request.service.is_keyed:
            return False
        return len(self._tried_ids) < request.route.max_attempts

    def _race(self, first: Send) -> TargetResponse | Failed:
        """Send the request to a second target and return the first good answer.

        See Dean and Barroso, "The Tail at Scale" (2013).
        """
        second = self._begin_hedge()
        if second is None:
            return self._finish(first)
        ended: Queue = Queue()
        for send in (first, second):
            gevent.spawn(self._run_in_race, send, ended)
        failed: Failed | None = None
        for _ in range(2):
            send, result = ended.get()
            if isinstance(result, TargetResponse):
                self._call = send.call
                self._abandon(second if send is first else first)
                return result
            failed = self._worse(failed, result)
        assert failed is not None
        return failed

    def _run_in_race(self, send: Send, ended: Queue) -> None:
        ended.put((send, self._finish(send)))

    def _begin_hedge(self) -> Send | None:
        """Send the request to an idle target, if the budget allows it."""
        now = monotonic()
        if self._is_gone or not self._allowance.allows(now, self._instances(), self._request.rank):
            return None
        chosen = self._dispatcher.choose(now, self._wanted(now, None))
        if isinstance(chosen, NoTarget):
            return None
        if not chosen.has_free_slot:
            # Under load a second call would only delay those of others.
            self._dispatcher.ended(now, self._outcome(chosen, 0.0, is_abandoned=True))
            return None
        self._allowance.count_repeat(now)
        send = self._begin(chosen)
        if isinstance(send, Failed):
            self._log_failure(chosen, send)
            return None
        return send

    def _abandon(self, send: Send) -> None:
        if send in self._open_sends:
            send.is_abandoned = True
            send.call.abort()

    def _judge(self, send: Send, answer: TargetResponse) -> TargetResponse | Failed:
        head, metadata, call = answer.head, answer.metadata, send.call
        if metadata.is_not_run:
            call.finish()
            self._end(
                send,
                answer,
                is_shed=not metadata.is_misdirected,
                is_misdirected=metadata.is_misdirected,
            )
            cause = f"not run, status {head.status}"
            return Failed(True, cause, answer, metadata.is_misdirected)
        is_success = 200 <= head.status < 300
        is_genuine = metadata.is_signed and not (
            is_success and (metadata.is_encoded or metadata.request_id is None)
        )
        if not is_genuine:
            call.close()
            self._end(send, answer, has_failed=True)
            return Failed(False, f"the response is not the target's, status {head.status}")
        if answer.is_whole:
            call.finish()
        has_failed = head.status >= 500
        self._end(send, answer, has_failed=has_failed)
        if has_failed and self._request.is_repeatable and answer.is_whole:
            return Failed(False, f"status {head.status}", answer)
        self._call = call
        return answer

    def _failed(self, send: Send, error: CallError) -> Failed:
        send.call.close()
        is_own_end = self._is_gone or send.is_abandoned
        is_unreachable = error.failure.excludes_execution and not is_own_end
        self._close(
            send,
            has_failed=not is_own_end,
            has_no_answer=not is_own_end,
            is_unreachable=is_unreachable,
            is_abandoned=is_own_end,
        )
        return Failed(error.failure.excludes_execution, str(error))

    def _end(self, send: Send, answer: TargetResponse, **outcome: Any) -> None:
        report = answer.metadata.report
        if report is not None:
            self._on_report(send.chosen.entry.incarnation, report)
        self._close(send, report=report, **outcome)

    def _close(self, send: Send, **outcome: Any) -> None:
        self._open_sends.remove(send)
        now = monotonic()
        duration_s = now - send.call.started_at
        self._dispatcher.ended(now, self._outcome(send.chosen, duration_s, **outcome))

    def _outcome(self, chosen: TargetSelection, duration_s: float, **outcome: Any) -> CallOutcome:
        return CallOutcome(
            chosen.entry,
            self._request.route.name,
            duration_s,
            load_factor=chosen.load_factor,
            is_keyed=self._request.service.is_keyed,
            **outcome,
        )

    @staticmethod
    def _worse(before: Failed | None, present: Failed) -> Failed:
        """Return the failure that decides what the caller may be promised."""
        if before is None or before.excludes_execution:
            return present
        return present if not present.excludes_execution else before

    def _may_try_again(self, failed: Failed) -> bool:
        request = self._request
        now = monotonic()
        if self._is_gone or now >= request.until or request.body.rest is not None:
            return False
        if not failed.excludes_execution and not request.is_repeatable:
            return False
        if not self._tried_ids:
            # Nothing has arrived anywhere, so this costs no budget.
            return True
        if len(self._tried_ids) >= request.route.max_attempts:
            return False
        return self._allowance.allows(now, self._instances(), self._request.rank)

    def _give_up(self, refusal: Refusal | None, failed: Failed | None) -> TargetResponse | Refusal:
        if failed is None:
            assert refusal is not None
            return refusal
        if failed.excludes_execution:
            if refusal is not None:
                return refusal
            return not_run(Reason.NOT_RUN, failed.cause, REFUSAL_RETRY_S)
        if failed.answer is not None and failed.answer.metadata.is_signed:
            return failed.answer
        if monotonic() >= self._request.until:
            return Refusal(504, Reason.TIMED_OUT, "no answer in time")
        return Refusal(502, Reason.OUTCOME_UNKNOWN, failed.cause)

    def _refusal(self, not_chosen: NoTarget) -> Refusal:
        reason = Reason.NO_TARGET
        if not_chosen.reason is NoTargetReason.TOO_LATE:
            reason = Reason.OVERLOADED
        return not_run(reason, not_chosen.reason.value, not_chosen.retry_after_s)

    def _log_failure(self, chosen: TargetSelection, failed: Failed) -> None:
        request_id = self._request.metadata.request_id
        logger.bind(
            request_id=request_id.decode("latin-1") if request_id else None,
            reason="send_failed",
            target=chosen.entry.target_id,
            route=self._request.route.name,
            expected_ms=round(1000 * chosen.expected_s),
            calls=round(chosen.calls, 1),
            sends=len(self._tried_ids),
            excludes_execution=failed.excludes_execution,
        ).info("send failed: {}", failed.cause)
