"""Metrics of the usage caps."""

from prometheus_client import CollectorRegistry, Counter

from damasktide.quotas.messages import DrawReply


class QuotaMetrics:
    """Counts draws, tokens and refusals.

    Parameters
    ----------
    registry
        Registry in which the metrics are registered.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._tokens = Counter(
            "damasktide_quota_tokens", "Tokens of organisations drawn.", registry=registry
        )
        self._draws = Counter(
            "damasktide_quota_draws",
            "Draws from the allocator: granted, extended, refused or no_reply.",
            ("outcome",),
            registry=registry,
        )
        self._over_cap = Counter(
            "damasktide_quota_over_cap",
            "Requests and retries that got no token of their organisation.",
            registry=registry,
        )

    def record_draw(self, reply: DrawReply | None, tokens: int) -> None:
        """Record a draw and the tokens it brought."""
        self._tokens.inc(tokens)
        self._draws.labels("no_reply" if reply is None else reply.status.name.lower()).inc()

    def record_over_cap(self) -> None:
        """Record a request above the cap."""
        self._over_cap.inc()
