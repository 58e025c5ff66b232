"""State machine of the fenced grants that a backend server receives."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Grant:
    """A fenced lease on a set of shards.

    Attributes
    ----------
    version
        Version of the shard map on which the grant is based.
    shards
        All shards that the server may own.
    term
        Term of the server, as read by the sender before it sent the grant.
    basis_ms
        Clock reading of the server in milliseconds, as read by the sender with the term.
    ttl_ms
        Time after ``basis_ms`` at which the grant expires.
    """

    version: int
    shards: frozenset[int]
    term: str
    basis_ms: int
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class GrantState:
    """State of its grant that the server reports.

    Attributes
    ----------
    boot_id
        Random id of the current start of the server.
    term
        Current term, as ``BOOT_ID.NUMBER``.
    now_ms
        Clock reading of the server in milliseconds.
    version
        Highest map version of an accepted grant since the start.
    draining
        Number of running requests for shards that the server no longer owns.
    """

    boot_id: str
    term: str
    now_ms: int
    version: int
    draining: int


class GrantTracker:
    """Tracks the grant that a backend server holds and the runs under it.

    A term ends when a grant expires and when the server restarts. A grant for an earlier term is
    refused, so it cannot revive ownership that has ended. Times are seconds on the server's
    monotonic clock.

    Parameters
    ----------
    boot_id
        Random id of the current start.
    is_checked
        Whether runs are rolled back when their term ends; otherwise they count as draining after
        it.
    """

    def __init__(self, boot_id: str, is_checked: bool = True) -> None:
        self._boot_id = boot_id
        self._is_checked = is_checked
        self._term_number = 1
        self._version = 0
        self._current_grant: Grant | None = None
        self._ended_at_by_term: dict[str, float] = {}
        self._running: dict[int, tuple[int, str]] = {}

    @property
    def boot_id(self) -> str:
        """Random id of the current start."""
        return self._boot_id

    def state(self, now: float) -> GrantState:
        """Return the state at ``now``."""
        self._expire_grant(now)
        return GrantState(
            self._boot_id, self._term, _to_ms(now), self._version, self._draining_count()
        )

    def apply(self, grant: Grant, now: float) -> str | None:
        """Apply ``grant`` and return None, or return the reason for which it is refused."""
        self._expire_grant(now)
        refusal = self._refusal_reason(grant, _to_ms(now))
        if refusal is not None:
            return refusal
        # A replay of an older grant of the same version must not shorten a renewed grant.
        if self._current_grant is None or _recency(grant) >= _recency(self._current_grant):
            self._current_grant = grant
            self._version = grant.version
        return None

    def owns(self, shard: int, now: float) -> bool:
        """Return whether a grant that includes ``shard`` is in force at ``now``."""
        self._expire_grant(now)
        return self._current_grant is not None and shard in self._current_grant.shards

    def begin(self, run_id: int, shard: int, now: float) -> None:
        """Record that a request for ``shard`` starts to run."""
        self._expire_grant(now)
        self._running[run_id] = (shard, self._term)

    def finish(self, run_id: int, now: float) -> float | None:
        """Record the end of a run; return when its term ended, or None if it is current.

        A run whose term has ended must have no effect, because another server may own the shard.
        """
        self._expire_grant(now)
        _, term = self._running.pop(run_id)
        return self._ended_at_by_term.get(term)

    def restart(self, boot_id: str, now: float) -> None:
        """Reset all state except the runs, whose term ends."""
        self._expire_grant(now)
        self._start_new_term(now)
        self._boot_id = boot_id
        self._version = 0

    @property
    def _term(self) -> str:
        return f"{self._boot_id}.{self._term_number}"

    def _refusal_reason(self, grant: Grant, now_ms: int) -> str | None:
        if grant.version < self._version:
            return f"version {self._version} has been seen"
        if grant.term != self._term:
            return "the term is not current"
        if grant.basis_ms > now_ms:
            return "the basis is later than the clock of this server"
        if _end_ms(grant) <= now_ms:
            return "the grant has ended"
        return None

    def _expire_grant(self, now: float) -> None:
        if self._current_grant is not None and _to_ms(now) >= _end_ms(self._current_grant):
            self._start_new_term(_end_ms(self._current_grant) / 1000)

    def _start_new_term(self, ended_at: float) -> None:
        terms_in_use = {term for _, term in self._running.values()}
        self._ended_at_by_term[self._term] = ended_at
        self._ended_at_by_term = {
            term: end for term, end in self._ended_at_by_term.items() if term in terms_in_use
        }
        self._term_number += 1
        self._current_grant = None

    def _draining_count(self) -> int:
        owned_shards = (
            self._current_grant.shards if self._current_grant is not None else frozenset()
        )
        return sum(
            1
            for shard, term in self._running.values()
            if shard not in owned_shards and (term == self._term or not self._is_checked)
        )


def _recency(grant: Grant) -> tuple[int, int]:
    return grant.version, grant.basis_ms


def _end_ms(grant: Grant) -> int:
    return grant.basis_ms + grant.ttl_ms


def _to_ms(now: float) -> int:
    return int(now * 1000)
