"""An instance's side of the usage caps: its tokens, its standing rates and what it draws."""

from collections import deque
from collections.abc import Iterable, Iterator
from math import ceil, exp
from zlib import crc32

from damasktide.limits.token_bucket import TokenBucket
from damasktide.organisations.organisation import Organisation
from damasktide.quotas.limits import WINDOW_MARGIN, QuotaLimits
from damasktide.quotas.messages import (
    STANDING_LIFE_S,
    DrawItem,
    DrawReply,
    DrawRequest,
    DrawStatus,
    GrantItem,
    draw_interval_s,
    keepalive_interval_s,
    name_id,
    silence_s,
    token_life_s,
)

# Time over which the demand is averaged.
DEMAND_TIME_S = 4.0
# Demand from which an instance draws in advance and gets a standing rate, and demand below which
# it stops. One request counts as 0.25 per second, so a single request starts no further draws.
STEADY_PER_S = 0.4
UNSTEADY_PER_S = 0.25
# Tokens are drawn in advance for the time to the next draw and this time for its reply.
REPLY_MARGIN_S = 0.1
# Tokens of a standing rate accumulate for at most this long.
STANDING_DEPTH_S = 0.5
MIN_RETRY_AFTER_S = 0.05
# While an organisation is not scarce, by a reply of at most this age, an instance with little
# demand admits this many requests per window before it draws for them. A wait for the allocator
# takes 60 ms between regions, and a draw for each such request would keep the allocator busy.
CREDIT_CONTACT_S = 1.0
CREDIT_REQUESTS = 2


class Usage:
    """The usage of one organisation at this instance; owned by the :class:`QuotaHolder`."""

    def __init__(self, organisation: Organisation) -> None:
        self.organisation = organisation
        self.id = name_id(organisation.name)
        self.held = 0
        # Tickets of waiting requests: the next one, and the first ones that were not drawn for and
        # whose draw has not ended. Further the number of requests that no longer wait.
        self.next_ticket = 0
        self.first_undrawn = 0
        self.first_unresolved = 0
        self.left = 0
        self.is_steady = False
        self.standing = 0.0
        self.total = 0.0
        self.used = 0
        self.offline_reported_at = float("-inf")
        self.denied_until = 0.0
        self.refill_at = 0.0
        self.next_free_at = 0.0
        self.standing_bucket: TokenBucket | None = None
        self.undrawn_admissions: deque[float] = deque()
        self.offline_quota: int | None = None
        self._requests = 0.0
        self._counted_at = 0.0

    def count_request(self, now: float) -> None:
        """Count a request, whether or not it is admitted."""
        self._requests = self._recent_requests(now) + 1.0
        self._counted_at = now
        if self._requests >= STEADY_PER_S * DEMAND_TIME_S:
            self.is_steady = True

    def demand_per_s(self, now: float) -> float:
        """Return the recent requests per second."""
        return self._recent_requests(now) / DEMAND_TIME_S

    def _recent_requests(self, now: float) -> float:
        return self._requests * exp((self._counted_at - now) / DEMAND_TIME_S)


class QuotaHolder:
    """Holds the tokens and standing rates of one instance.

    Times are seconds on a clock that keeps running while the machine is suspended, so that tokens
    and standing rates expire on time.

    Parameters
    ----------
    name
        Name of this instance.
    limits
        Bound on the usage in a window.
    """

    def __init__(self, name: str, limits: QuotaLimits) -> None:
        self._name = name
        self._limits = limits
        self._usage_by_name: dict[str, Usage] = {}
        self._active_by_name: dict[str, Usage] = {}
        self._instance_names: frozenset[str] = frozenset()
        self._sequence = 0
        self._epoch = 0
        self._interval_s = draw_interval_s(0)
        self._keepalive_s = keepalive_interval_s(0)
        self._drew_at = float("-inf")
        self._contact_at = float("-inf")
        self._tokens_until = float("-inf")
        self._standing_until = float("-inf")
        # Ids of organisations of which few tokens are left, by the last reply.
        self._scarce: frozenset[int] = frozenset()
        # Since when this instance knows that it cannot draw, or None.
        self._offline_since: float | None = None
        self._last_demand_at = float("-inf")

    def set_organisations(self, organisations: Iterable[Organisation]) -> None:
        """Replace the organisations with a cap; a lower cap voids the tokens held."""
        known, self._usage_by_name = self._usage_by_name, {}
        for organisation in organisations:
            usage = known.get(organisation.name) or Usage(organisation)
            if (organisation.requests_per_s, organisation.burst) != (
                usage.organisation.requests_per_s,
                usage.organisation.burst,
            ):
                usage.held = 0
                usage.standing_bucket = None
                usage.offline_quota = None
            usage.organisation = organisation
            self._usage_by_name[organisation.name] = usage
        self._active_by_name = {
            name: usage
            for name, usage in self._active_by_name.items()
            if name in self._usage_by_name
        }

    def set_instances(self, names: frozenset[str]) -> None:
        """Replace the names of the registered instances."""
        if names == self._instance_names:
            return
        self._instance_names = names
        self._interval_s = draw_interval_s(len(names))
        self._keepalive_s = keepalive_interval_s(len(names))
        for usage in self._usage_by_name.values():
            usage.offline_quota = None

    def usage(self, name: str) -> Usage | None:
        """Return the usage of an organisation, or None if it has no cap."""
        return self._usage_by_name.get(name)

    def admit(self, now: float, usage: Usage) -> bool:
        """Count a request and return whether it may proceed with a token at hand."""
        usage.count_request(now)
        return self.take(now, usage)

    def take(self, now: float, usage: Usage) -> bool:
        """Take a token, without counting a request."""
        if usage.held > 0 and now < self._tokens_until:
            usage.held -= 1
            return True
        usage.held = 0
        self._last_demand_at = now
        if usage.is_steady:
            self._active_by_name[usage.organisation.name] = usage
        if self._offline_since is None:
            return self._take_on_credit(now, usage)
        return self._take_standing(now, usage) or self.take_offline(now, usage)

    def take_offline(self, now: float, usage: Usage) -> bool:
        """Admit a request that no allocator knows of, if the tolerance allows it."""
        if usage.offline_quota is None:
            usage.offline_quota = self._offline_quota(usage)
        # An instance with a standing rate needs them only until that has accumulated a token.
        has_standing = usage.standing > 0.0 and now < self._standing_until
        quota = min(1, usage.offline_quota) if has_standing else usage.offline_quota
        return self._admit_undrawn(now, usage, quota)

    def _take_on_credit(self, now: float, usage: Usage) -> bool:
        """Admit a request of an organisation that has tokens left; the next draw charges it."""
        if (
            usage.is_steady
            or now >= self._contact_at + CREDIT_CONTACT_S
            or now < usage.denied_until
            or usage.id in self._scarce
        ):
            return False
        return self._admit_undrawn(now, usage, CREDIT_REQUESTS)

    def _admit_undrawn(self, now: float, usage: Usage, quota: int) -> bool:
        admissions = usage.undrawn_admissions
        while admissions and now - admissions[0] >= self._limits.window_s * WINDOW_MARGIN:
            admissions.popleft()
        if len(admissions) >= quota:
            return False
        admissions.append(now)
        self._active_by_name[usage.organisation.name] = usage
        return True

    def refund(self, now: float, usage: Usage) -> None:
        """Return the token of a request that has not run."""
        if now < self._tokens_until:
            usage.held += 1
            self._active_by_name[usage.organisation.name] = usage

    def may_wait(self, now: float, usage: Usage) -> bool:
        """Return whether a draw may soon provide a token."""
        if self._offline_since is not None and now < self._drew_at + self._interval_s:
            return False
        return now >= usage.denied_until

    def enter(self, usage: Usage) -> int:
        """Register a waiting request and return its ticket."""
        usage.next_ticket += 1
        self._active_by_name[usage.organisation.name] = usage
        return usage.next_ticket - 1

    def leave(self, usage: Usage) -> None:
        """Record that a waiting request has its token or no longer waits."""
        usage.left += 1

    def retry_after_s(self, now: float, usage: Usage) -> float:
        """Return when a refused request can expect a token.

        Refused requests are assigned the tokens of this instance's share of the refill one after
        the other, so that callers do not all return for the same token.
        """
        cap = usage.organisation.requests_per_s
        rate = cap * usage.standing if usage.standing > 0.0 else cap
        refill_at = now + self._interval_s if self._offline_since is not None else usage.refill_at
        free_at = max(now, refill_at, usage.next_free_at)
        usage.next_free_at = min(free_at + 1.0 / rate, now + self._limits.window_s)
        return max(MIN_RETRY_AFTER_S, free_at - now)

    def next_draw_at(self, now: float) -> float | None:
        """Return when the next draw is due, or None without demand."""
        regular_at = self._drew_at + self._interval_s
        if self._offline_since is not None:
            has_standing = now < self._standing_until and bool(self._active_by_name)
            return regular_at if has_standing or self._last_demand_at > self._drew_at else None
        needs_tokens = False
        for usage in self._active_by_name.values():
            if usage.next_ticket > usage.first_undrawn:
                return now
            needs_tokens |= usage.held == 0 or not usage.is_steady
        if needs_tokens:
            return regular_at
        return self._drew_at + self._keepalive_s if self._active_by_name else None

    def start_draw(self, now: float) -> DrawRequest:
        """Return the next draw; :meth:`finish_draw` must be called before the one after it."""
        self._drew_at = now
        self._sequence += 1
        items = tuple(self._draw_items(now))
        return DrawRequest(self._sequence, self._epoch, items)

    def finish_draw(
        self, now: float, sent_at: float, request: DrawRequest, reply: DrawReply | None
    ) -> int:
        """Apply the reply to a draw, or None if there was none; return the tokens drawn."""
        for usage in self._active_by_name.values():
            usage.first_unresolved = usage.first_undrawn
        if reply is None or reply.status is not DrawStatus.GRANTED:
            if self._offline_since is None:
                self._offline_since = now
            if reply is not None and reply.status is DrawStatus.EXTENDED:
                self._extend(sent_at, reply)
            return 0
        if self._offline_since is not None:
            self._offline_since = None
            for usage in self._usage_by_name.values():
                usage.standing_bucket = None
        self._epoch = reply.epoch
        self._scarce = frozenset(reply.scarce)
        self._contact_at = sent_at
        self._tokens_until = sent_at + token_life_s(len(self._instance_names))
        self._standing_until = sent_at + STANDING_LIFE_S
        grant_by_id = {item.organisation: item for item in reply.items}
        usage_by_id = {usage.id: usage for usage in self._active_by_name.values()}
        for item in request.items:
            if (active := usage_by_id.get(item.organisation)) is not None:
                self._apply_grant(now, active, item, grant_by_id.get(item.organisation))
        self._drop_inactive()
        return sum(item.granted for item in reply.items)

    def _extend(self, sent_at: float, reply: DrawReply) -> None:
        if reply.epoch == self._epoch:
            self._standing_until = sent_at + STANDING_LIFE_S

    def _draw_items(self, now: float) -> Iterator[DrawItem]:
        for usage in self._active_by_name.values():
            demand = usage.demand_per_s(now)
            if demand < UNSTEADY_PER_S:
                usage.is_steady = False
            if now >= self._tokens_until:
                usage.held = 0
            if now >= self._standing_until:
                usage.standing = usage.total = 0.0
            wanted = 0
            if usage.is_steady:
                wanted = ceil(demand * (self._interval_s + REPLY_MARGIN_S))
            # One more token is kept than is drawn, so that the same token is not drawn and
            # returned in turn.
            kept = wanted + 1 if usage.is_steady else 0
            # The greenlets of these requests have not run since their tokens arrived.
            kept += max(0, usage.first_unresolved - usage.left)
            returned = max(0, usage.held - kept)
            usage.held -= returned
            waiting = usage.next_ticket - usage.first_undrawn
            usage.first_undrawn = usage.next_ticket
            yield DrawItem(
                usage.id,
                demand if usage.is_steady else 0.0,
                waiting,
                max(0, wanted - usage.held),
                usage.held,
                returned,
                usage.used,
                self._unreported_offline(now, usage),
                usage.standing,
                usage.total,
            )

    def _unreported_offline(self, now: float, usage: Usage) -> int:
        since = max(usage.offline_reported_at, now - self._limits.window_s)
        return sum(at > since for at in usage.undrawn_admissions)

    def _apply_grant(
        self, now: float, usage: Usage, item: DrawItem, grant: GrantItem | None
    ) -> None:
        usage.used = max(0, usage.used - item.used)
        usage.offline_reported_at = self._drew_at
        if grant is None:
            # The allocator does not have this organisation in its configuration yet.
            usage.held = 0
            usage.standing = usage.total = 0.0
            usage.denied_until = now + self._interval_s
            return
        usage.held += grant.granted
        usage.standing, usage.total = grant.standing, grant.total
        if grant.wait_s > 0.0:
            usage.refill_at = now + grant.wait_s
            usage.denied_until = max(usage.refill_at, now + self._interval_s)

    def _drop_inactive(self) -> None:
        self._active_by_name = {
            name: usage
            for name, usage in self._active_by_name.items()
            if usage.is_steady or usage.held > 0 or usage.next_ticket > usage.first_undrawn
        }

    def _take_standing(self, now: float, usage: Usage) -> bool:
        if usage.standing <= 0.0 or now >= self._standing_until:
            return False
        bucket = usage.standing_bucket
        if bucket is None:
            bucket = usage.standing_bucket = self._standing_bucket(usage)
        if not bucket.take(now):
            return False
        usage.used += 1
        return True

    def _standing_bucket(self, usage: Usage) -> TokenBucket:
        """Return an empty bucket, which fills from about the time the allocator reserves it."""
        assert self._offline_since is not None
        silent_at = self._contact_at + silence_s(len(self._instance_names)) / 2.0
        start = max(self._offline_since, silent_at)
        rate = usage.standing * usage.organisation.requests_per_s
        depth = max(1.0, rate * STANDING_DEPTH_S)
        bucket = TokenBucket(rate, depth, start)
        bucket.charge(start, depth)
        return bucket

    def _offline_quota(self, usage: Usage) -> int:
        """Return this instance's share of the offline requests in a window."""
        names = self._instance_names
        if self._name not in names:
            return 0
        tokens = self._limits.offline_tokens(usage.organisation)
        organisation = crc32(usage.organisation.name.encode())

        def order(name: str) -> tuple[int, str]:
            return crc32(name.encode(), organisation), name

        rank = sum(order(name) < order(self._name) for name in names)
        return tokens // len(names) + (rank < tokens % len(names))
