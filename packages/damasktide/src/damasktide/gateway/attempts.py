"""Sends a request to one target after another until there is an answer or none can be had."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from time import monotonic

import gevent
from loguru import logger

from damasktide.dispatch.dispatcher import (
    Chosen,
    Dispatcher,
    NoTargetReason,
    NotChosen,
    SendOutcome,
    Wanted,
)
from damasktide.dispatch.retry_allowance import RetryAllowance
from damasktide.gateway.admission import GatewayRequest
from damasktide.gateway.call import Answered, TargetCall
from damasktide.gateway.refusals import Reason, Refusal, not_run
from damasktide.http1.errors import CallError, CallFailure
from damasktide.keyspace.key_map import KeyMap
from damasktide.targets.target import TargetEntry

# A request for a key that is changing hands waits at most this long for the new holder.
LONGEST_KEY_WAIT_S = 0.8
KEY_POLL_S = 0.05
# A target that has not answered after this many times the expected time is given up for an
# idempotent request, as long as another one can still answer.
PATIENCE_FACTOR = 3.0
SHORTEST_PATIENCE_S = 0.5
# A target answers at the end of the time that it was given; its answer needs this long to arrive.
ANSWER_GRACE_S = 0.1
REFUSAL_RETRY_S = 0.3

OpenCall = Callable[[GatewayRequest, TargetEntry], TargetCall]


@dataclass(frozen=True, slots=True)
class _Failed:
    """A send that brought no answer for the caller.

    Attributes
    ----------
    excludes_execution
        Whether it is certain that the request has not run there and will not.
    cause
        Text for the log.
    answer
        The target's own failure, if it gave one.
    has_arrived
        Whether the target may have received the request.
    """

    excludes_execution: bool
    cause: str
    answer: Answered | None = None
    has_arrived: bool = True


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
    """

    def __init__(
        self,
        request: GatewayRequest,
        dispatcher: Dispatcher,
        allowance: RetryAllowance,
        maps: Callable[[], Mapping[str, KeyMap]],
        instances: Callable[[], int],
        open_call: OpenCall,
    ) -> None:
        self._request = request
        self._dispatcher = dispatcher
        self._allowance = allowance
        self._maps = maps
        self._instances = instances
        self._open_call = open_call
        self._call: TargetCall | None = None
        self._tried_ids: list[str] = []
        self._is_gone = False
        self._key_wait_until = 0.0

    @property
    def call(self) -> TargetCall | None:
        """The last call; the rest of a long response is read from it."""
        return self._call

    def abort(self) -> None:
        """End the present call because the caller has left."""
        self._is_gone = True
        if self._call is not None:
            self._call.abort()

    def run(self) -> Answered | Refusal:
        """Return the answer of a target, or a refusal."""
        self._key_wait_until = min(
            self._request.until, self._request.received_at + LONGEST_KEY_WAIT_S
        )
        last: _Failed | None = None
        while True:
            if self._is_gone:
                return Refusal(502, Reason.CALLER_GONE, "the caller has left")
            chosen = self._choose()
            if isinstance(chosen, Refusal):
                return self._give_up(chosen, last)
            if self._tried_ids:
                self._allowance.count_repeat(monotonic())
            result = self._send(chosen)
            if isinstance(result, Answered):
                return result
            self._log_failure(chosen, result)
            last = self._worse(last, result)
            if not self._may_try_again(last):
                return self._give_up(None, last)

    def _choose(self) -> Chosen | Refusal:
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
            if isinstance(chosen, Chosen):
                return chosen
            if owner_id is not None and self._waits_for_owner(now, chosen):
                gevent.sleep(KEY_POLL_S)
                continue
            return self._refusal(chosen)

    def _waits_for_owner(self, now: float, not_chosen: NotChosen) -> bool:
        is_passing = not_chosen.reason in (
            NoTargetReason.OWNER_UNUSABLE,
            NoTargetReason.ALL_UNREACHABLE,
        )
        return is_passing and now < self._key_wait_until and not self._is_gone

    def _locate_owner(self) -> str | Refusal:
        key = self._request.facts.key
        if key is None:
            return Refusal(400, Reason.MALFORMED, "the request names no key")
        key_map = self._maps().get(self._request.service.name)
        item = key_map.find(key) if key_map is not None else None
        if item is None:
            return not_run(Reason.NO_OWNER, "the key has no owner yet", REFUSAL_RETRY_S)
        if not item.is_granted:
            return not_run(Reason.NO_OWNER, "the key is changing hands", REFUSAL_RETRY_S)
        return item.holder[0]

    def _wanted(self, now: float, owner_id: str | None) -> Wanted:
        request = self._request
        return Wanted(
            request.service,
            request.route.name,
            request.route.objective_s,
            request.until - now,
            request.route.regions,
            owner_id,
            frozenset(self._tried_ids),
        )

    def _send(self, chosen: Chosen) -> Answered | _Failed:
        request = self._request
        call = self._open_call(request, chosen.entry)
        self._call = call
        try:
            body = request.body
            call.send(request.until, body.data, body.rest)
            self._tried_ids.append(chosen.entry.target_id)
            answer = self._await_answer(call, chosen)
        except CallError as error:
            call.close()
            return self._failed(call, error)
        return self._judge(call, answer)

    def _await_answer(self, call: TargetCall, chosen: Chosen) -> Answered:
        last_moment = self._request.until + ANSWER_GRACE_S
        if self._request.is_repeatable and not self._request.service.is_keyed:
            patience_s = max(SHORTEST_PATIENCE_S, PATIENCE_FACTOR * chosen.expected_s)
            given_up_at = call.started_at + patience_s
            can_repeat = len(self._tried_ids) < self._request.route.max_attempts
            if can_repeat and given_up_at + 1.5 * chosen.expected_s < self._request.until:
                call.wait_for_head(given_up_at)
        return call.read_answer(last_moment)

    def _judge(self, call: TargetCall, answer: Answered) -> Answered | _Failed:
        head, facts = answer.head, answer.facts
        is_success = 200 <= head.status < 300
        if facts.is_misdirected or facts.is_not_run:
            call.finish()
            self._end(call, answer, is_shed=not facts.is_misdirected)
            return _Failed(True, f"not run, status {head.status}", answer)
        is_complete_success = facts.is_signed and not facts.is_encoded
        if is_success and (not is_complete_success or facts.request_id is None):
            call.close()
            self._end(call, answer, has_failed=True)
            return _Failed(False, "the response is not the target's")
        if not facts.is_signed:
            call.close()
            self._end(call, answer, has_failed=True)
            return _Failed(False, f"unsigned status {head.status}")
        if answer.is_whole:
            call.finish()
        self._end(call, answer, has_failed=head.status >= 500)
        if head.status >= 500 and self._request.is_repeatable:
            return _Failed(False, f"status {head.status}", answer)
        return answer

    def _failed(self, call: TargetCall, error: CallError) -> _Failed:
        now = monotonic()
        is_unreachable = error.failure in (CallFailure.NOT_CONNECTED, CallFailure.NOT_SENT)
        is_aborted = self._is_gone
        self._dispatcher.ended(
            now,
            SendOutcome(
                call.entry,
                self._request.route.name,
                now - call.started_at,
                has_failed=not is_aborted,
                is_unreachable=is_unreachable and not is_aborted,
            ),
        )
        excludes_execution = error.failure.excludes_execution
        return _Failed(excludes_execution, str(error), has_arrived=not excludes_execution)

    def _end(
        self, call: TargetCall, answer: Answered, has_failed: bool = False, is_shed: bool = False
    ) -> None:
        now = monotonic()
        outcome = SendOutcome(
            call.entry,
            self._request.route.name,
            now - call.started_at,
            has_failed,
            is_shed,
            report=answer.facts.report,
        )
        self._dispatcher.ended(now, outcome)

    @staticmethod
    def _worse(before: _Failed | None, present: _Failed) -> _Failed:
        """Return the failure that decides what the caller may be promised."""
        if before is None or before.excludes_execution:
            return present
        return present if not present.excludes_execution else before

    def _may_try_again(self, failed: _Failed) -> bool:
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
        return self._allowance.allows(now, self._instances())

    def _give_up(self, refusal: Refusal | None, failed: _Failed | None) -> Answered | Refusal:
        if failed is None:
            assert refusal is not None
            return refusal
        if failed.excludes_execution:
            if refusal is not None:
                return refusal
            return not_run(Reason.NOT_RUN, failed.cause, REFUSAL_RETRY_S)
        if failed.answer is not None and failed.answer.facts.is_signed:
            return failed.answer
        if monotonic() >= self._request.until:
            return Refusal(504, Reason.TIMED_OUT, "no answer in time")
        return Refusal(502, Reason.OUTCOME_UNKNOWN, failed.cause)

    def _refusal(self, not_chosen: NotChosen) -> Refusal:
        reason = Reason.NO_TARGET
        if not_chosen.reason is NoTargetReason.TOO_LATE:
            reason = Reason.OVERLOADED
        return not_run(reason, not_chosen.reason.value, not_chosen.retry_after_s)

    def _log_failure(self, chosen: Chosen, failed: _Failed) -> None:
        request_id = self._request.facts.request_id
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
