"""A token bucket."""


class TokenBucket:
    """Counts tokens that are added at a steady rate up to a burst.

    Parameters
    ----------
    rate
        Tokens per second.
    burst
        Largest number of tokens that can accumulate.
    now
        Monotonic time in seconds.
    """

    __slots__ = ("_burst", "_rate", "_tokens", "_updated_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_at = now

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst; tokens above the new burst are dropped."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def has(self, now: float, tokens: float = 1.0) -> bool:
        """Return whether ``tokens`` are available, without taking them."""
        self._refill(now)
        return self._tokens >= tokens

    def take(self, now: float, tokens: float = 1.0) -> bool:
        """Take ``tokens`` if they are available and return whether they were."""
        if not self.has(now, tokens):
            return False
        self._tokens -= tokens
        return True

    def take_whole(self, now: float, limit: int, kept: float = 0.0) -> int:
        """Take at most ``limit`` whole tokens and leave ``kept``; return the number taken."""
        self._refill(now)
        taken = max(0, min(limit, int(self._tokens - kept)))
        self._tokens -= taken
        return taken

    def charge(self, now: float, tokens: float) -> None:
        """Take ``tokens`` for a cost already incurred, even if the count becomes negative."""
        self._refill(now)
        self._tokens -= tokens

    def seconds_until(self, now: float, tokens: float = 1.0) -> float:
        """Return the seconds until ``tokens`` will be available; infinite if never."""
        if self.has(now, tokens):
            return 0.0
        if self._rate <= 0.0 or tokens > self._burst:
            return float("inf")
        return (tokens - self._tokens) / self._rate

    def _refill(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed > 0.0:
            self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
            self._updated_at = now
