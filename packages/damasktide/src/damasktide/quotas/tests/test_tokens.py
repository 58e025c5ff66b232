"""Tokens and standing rates under loss, delay and repetition of messages."""

import unittest
from collections.abc import Callable
from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st

from damasktide.organisations.organisation import Organisation
from damasktide.quotas.allocator import Allocator
from damasktide.quotas.codec import (
    MalformedDrawError,
    decode_draw,
    decode_reply,
    encode_draw,
    encode_reply,
)
from damasktide.quotas.holder import QuotaHolder, Usage
from damasktide.quotas.limits import QuotaLimits
from damasktide.quotas.messages import DrawItem, DrawReply, DrawRequest, DrawStatus, GrantItem

LIMITS = QuotaLimits()
ORGANISATION = Organisation("some", requests_per_s=20.0, burst=10.0)
INSTANCES = 4
FRACTIONS = st.integers(0, 65_535).map(lambda value: value / 65_535)
COUNTS = st.integers(0, 65_535)
IDS = st.integers(0, 2**64 - 1)
# Instance, requests, what happens to the call, and the time until the next step.
STEPS = st.tuples(
    st.integers(0, INSTANCES - 1),
    st.integers(0, 6),
    st.sampled_from(("answered", "answered", "call lost", "reply lost", "repeated", "delayed")),
    st.floats(0.0, 1.5),
)


class TestSums(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.allocator = Allocator(0.0, 1, LIMITS)
        self.allocator.set_organisations(0.0, (ORGANISATION,))
        self.holders = [QuotaHolder(f"i{n}", LIMITS) for n in range(INSTANCES)]
        for holder in self.holders:
            holder.set_organisations((ORGANISATION,))
            holder.set_instances(frozenset(f"i{n}" for n in range(INSTANCES)))
        self.delayed: list[Callable[[], DrawReply]] = []

    def usages(self) -> list[Usage]:
        return [usage for holder in self.holders if (usage := holder.usage("some"))]

    def step(self, number: int, requests: int, fate: str) -> int:
        """Let requests arrive and draw; return how many were admitted with a token."""
        holder = self.holders[number]
        usage = self.usages()[number]
        is_online = holder._offline_since is None
        admitted = sum(holder.admit(self.now, usage) for _ in range(requests))
        for _ in range(requests - admitted):
            holder.enter(usage)
            holder.leave(usage)
        sent_at = self.now
        request = holder.start_draw(sent_at)

        def serve() -> DrawReply:
            return self.allocator.draw(self.now, f"i{number}#1", request)

        reply = None
        if fate == "delayed":
            self.delayed.append(serve)
        elif fate != "call lost":
            reply = serve()
            if fate == "repeated":
                self.assertIs(serve().status, DrawStatus.REFUSED)
            if fate == "reply lost":
                reply = None
        holder.finish_draw(self.now, sent_at, request, reply)
        return admitted if is_online else 0

    def test_tokens_expire_while_the_instance_is_frozen(self) -> None:
        """Guards against the use of tokens that the allocator has handed out again."""
        for _ in range(8):
            self.step(0, 2, "answered")
            self.now += 0.25
        usage = self.usages()[0]
        self.assertGreater(usage.held, 0)
        self.assertFalse(self.holders[0].take(self.now + 1.0, usage))

    @settings(max_examples=150, deadline=None)
    @given(st.lists(STEPS, max_size=40))
    def test_tokens_are_never_doubled(self, steps: list[tuple[int, int, str, float]]) -> None:
        self.setUp()
        admitted = 0
        for number, requests, fate, wait_s in steps:
            admitted += self.step(number, requests, fate)
            held = sum(usage.held for usage in self.usages())
            issued = LIMITS.depth(ORGANISATION) + ORGANISATION.requests_per_s * self.now
            self.assertLessEqual(admitted + held, issued + 1e-6)
            self.now += wait_s
            while self.delayed and wait_s > 0.3:
                self.delayed.pop()()

    @settings(max_examples=150, deadline=None)
    @given(st.lists(STEPS, max_size=40))
    def test_standing_rates_never_exceed_the_cap(
        self, steps: list[tuple[int, int, str, float]]
    ) -> None:
        self.setUp()
        for number, requests, fate, wait_s in steps:
            self.step(number, requests, fate)
            total = sum(
                usage.standing
                for holder, usage in zip(self.holders, self.usages(), strict=True)
                if self.now < holder._standing_until
            )
            self.assertLessEqual(total, 1.0 + 1e-9)
            self.now += wait_s
            while self.delayed and wait_s > 0.3:
                self.delayed.pop()()


class TestCodec(unittest.TestCase):
    @given(
        st.builds(
            DrawRequest,
            st.integers(0, 2**32 - 1),
            IDS,
            st.lists(
                st.builds(
                    DrawItem,
                    IDS,
                    st.floats(0.0, 1e6, width=32),
                    *[COUNTS] * 6,
                    FRACTIONS,
                    FRACTIONS,
                ),
                max_size=5,
            ).map(tuple),
        )
    )
    def test_draw_is_decoded_as_encoded(self, request: DrawRequest) -> None:
        self.assertEqual(decode_draw(encode_draw(request)), request)

    @given(
        st.builds(
            DrawReply,
            st.sampled_from(DrawStatus),
            IDS,
            st.lists(
                st.builds(
                    GrantItem, IDS, COUNTS, FRACTIONS, FRACTIONS, st.floats(0.0, 1e6, width=32)
                ),
                max_size=5,
            ).map(tuple),
        )
    )
    def test_reply_is_decoded_as_encoded(self, reply: DrawReply) -> None:
        self.assertEqual(decode_reply(encode_reply(reply)), reply)

    @given(st.binary(max_size=100))
    def test_other_bytes_are_decoded_or_reported_as_malformed(self, data: bytes) -> None:
        """Guards against an exception that ends the task of the exchange."""
        for decode in (decode_draw, decode_reply):
            with suppress(MalformedDrawError):
                decode(data)
