"""Rules of fenced grants as the backend server applies them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Grant:
    """A fenced lease on a list of shards.

    Attributes
    ----------
    version
        Version of the map that the grant follows.
    shards
        All shards that the server may own.
    term
        Term of the server that the sender read before it sent the grant.
    basis_ms
        Clock reading of the server that the sender read with the term.
    ttl_ms
        Milliseconds after ``basis_ms`` at which the grant ends.
    """

    version: int
    shards: frozenset[int]
    term: str
    basis_ms: int
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class GrantState:
    """What the server tells about its grant.

    Attributes
    ----------
    boot_id
        Random id of this boot.
    term
        Present term, as ``BOOT_ID.NUMBER``.
    now_ms
        Clock reading of the server in milliseconds.
    version
        Highest map version seen since the boot.
    draining
        Running requests for shards that the server no longer owns.
    """

    boot_id: str
    term: str
    now_ms: int
    version: int
    draining: int


class GrantLedger:
    """State machine of the grant that a backend server holds.

    Times are seconds on the server's monotonic clock.

    Parameters
    ----------
    boot_id
        Random id of this boot.
    is_checked
        Whether runs end with their term; otherwise they are counted as draining after it.
    """

    def __init__(self, boot_id: str, is_checked: bool = True) -> None:
        self._boot_id = boot_id
        self._is_checked = is_checked
        self._term_number = 1
        self._version = 0
        self._held: Grant | None = None
        self._end_by_term: dict[str, float] = {}
        self._running: dict[int, tuple[int, str]] = {}

    @property
    def boot_id(self) -> str:
        """Random id of the present boot."""
        return self._boot_id

    def state(self, now: float) -> GrantState:
        """Return the state at ``now``; a grant that has ended lapses first."""
        self._lapse(now)
        return GrantState(
            self._boot_id, self._term, _milliseconds(now), self._version, self._draining()
        )

    def apply(self, grant: Grant, now: float) -> str | None:
        """Adopt ``grant`` and return None, or return why it is void."""
        self._lapse(now)
        refusal = self._refusal(grant, _milliseconds(now))
        if refusal is not None:
            return refusal
        # A replay of an older grant of the same version must not take back a renewal.
        if self._held is None or _order(grant) >= _order(self._held):
            self._held = grant
            self._version = grant.version
        return None

    def owns(self, shard: int, now: float) -> bool:
        """Return whether a grant for ``shard`` is current at ``now``."""
        self._lapse(now)
        return self._held is not None and shard in self._held.shards

    def begin(self, run_id: int, shard: int, now: float) -> None:
        """Note that a request for ``shard`` starts to run."""
        self._lapse(now)
        self._running[run_id] = (shard, self._term)

    def finish(self, run_id: int, now: float) -> float | None:
        """Note the end of a run; return None, or the time at which its term ended before.

        A run whose term has ended must have no effect: another server may own the shard.
        """
        self._lapse(now)
        _, term = self._running.pop(run_id)
        return self._end_by_term.get(term)

    def reboot(self, boot_id: str, now: float) -> None:
        """Lose all state except the runs, whose term has ended."""
        self._lapse(now)
        self._raise_term(now)
        self._boot_id = boot_id
        self._version = 0

    @property
    def _term(self) -> str:
        return f"{self._boot_id}.{self._term_number}"

    def _refusal(self, grant: Grant, now_ms: int) -> str | None:
        if grant.version < self._version:
            return f"version {self._version} has been seen"
        if grant.term != self._term:
            return "the term is not current"
        if grant.basis_ms > now_ms:
            return "the basis is later than the clock of this server"
        if _end_ms(grant) <= now_ms:
            return "the grant has ended"
        return None

    def _lapse(self, now: float) -> None:
        if self._held is not None and _milliseconds(now) >= _end_ms(self._held):
            self._raise_term(_end_ms(self._held) / 1000)

    def _raise_term(self, ended_at: float) -> None:
        terms_in_use = {term for _, term in self._running.values()}
        self._end_by_term[self._term] = ended_at
        self._end_by_term = {
            term: end for term, end in self._end_by_term.items() if term in terms_in_use
        }
        self._term_number += 1
        self._held = None

    def _draining(self) -> int:
        held_shards = self._held.shards if self._held is not None else frozenset()
        return sum(
            1
            for shard, term in self._running.values()
            if shard not in held_shards and (term == self._term or not self._is_checked)
        )


def _order(grant: Grant) -> tuple[int, int]:
    return grant.version, grant.basis_ms


def _end_ms(grant: Grant) -> int:
    return grant.basis_ms + grant.ttl_ms


def _milliseconds(now: float) -> int:
    return int(now * 1000)
