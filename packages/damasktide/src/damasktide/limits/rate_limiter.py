"""Limits each customer to this instance's share of the request rate of its plan."""

from collections.abc import Mapping

from damasktide.limits.token_bucket import TokenBucket

BURST_S = 1.0


class RateLimiter:
    """Keeps a token bucket per customer.

    Each instance gets the same fraction of a customer's rate. A bucket holds at least one
    token, because otherwise a low rate split among many instances would admit nothing.

    Parameters
    ----------
    fraction
        This instance's fraction of every rate.
    """

    def __init__(self, fraction: float = 0.0) -> None:
        self._fraction = fraction
        self._rate_by_customer: Mapping[str, float] = {}
        self._bucket_by_customer: dict[str, TokenBucket] = {}

    def set_rates(self, now: float, requests_per_s_by_customer: Mapping[str, float]) -> None:
        """Replace the rates in requests per second; a customer without a rate is not limited."""
        self._rate_by_customer = dict(requests_per_s_by_customer)
        for customer in list(self._bucket_by_customer):
            if customer not in self._rate_by_customer:
                del self._bucket_by_customer[customer]
        self._update_buckets(now)

    def set_fraction(self, now: float, fraction: float) -> None:
        """Replace this instance's fraction of every rate."""
        if fraction != self._fraction:
            self._fraction = fraction
            self._update_buckets(now)

    def take(self, now: float, customer: str) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
        rate = self._rate_by_customer.get(customer)
        if rate is None:
            return 0.0
        bucket = self._bucket_by_customer.get(customer)
        if bucket is None:
            bucket = TokenBucket(rate * self._fraction, self._burst(rate), now)
            self._bucket_by_customer[customer] = bucket
        return 0.0 if bucket.take(now) else bucket.seconds_until(now)

    def refund(self, now: float, customer: str) -> None:
        """Put back the token of a request that was refused for another reason."""
        bucket = self._bucket_by_customer.get(customer)
        if bucket is not None:
            bucket.charge(now, -1.0)

    def _update_buckets(self, now: float) -> None:
        for customer, bucket in self._bucket_by_customer.items():
            rate = self._rate_by_customer[customer]
            bucket.set_rate(rate * self._fraction, self._burst(rate), now)

    def _burst(self, rate: float) -> float:
        if self._fraction <= 0.0:
            return 0.0
        return max(1.0, rate * self._fraction * BURST_S)
