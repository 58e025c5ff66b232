"""Task that follows the platform's list of targets."""

from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass, field
from time import monotonic

from loguru import logger

from damasktide.rows.follower import (
    BUSY_POLL_SCHEDULE,
    FollowerMessage,
    StoreAvailable,
    StoreUnavailable,
    TableChanged,
    TableFollower,
    TableRead,
    provenance,
)
from damasktide.rows.store import Row, RowStore, era_of
from damasktide.runtime.clock import LeaseClock
from damasktide.runtime.published import Published
from damasktide.runtime.task import OnError, Task, TaskFailed, every, handles
from damasktide.targets.cold_start_probe import ColdStartReported
from damasktide.targets.directory import EXPIRED_ENTRY_GRACE_S, TargetDirectory
from damasktide.targets.target import TargetEntry, TargetView

EXPIRY_INTERVAL_S = 0.25
# An entry expires after three check-in intervals of silence, and up to one passes until the first
# check-in that an outage prevents, so no entry of a live target expires in an outage of less than
# two.
SURVIVED_INTERVALS = 2.0


class MalformedEntryError(ValueError):
    """An entry of the list that cannot be decoded."""


TargetDecoder = Callable[[Row], TargetEntry]


@dataclass(frozen=True, slots=True)
class EvacuatedDomains:
    """The failure domains whose targets must get no work.

    Attributes
    ----------
    domains
        The failure domains.
    ended_at_version_by_domain
        Version of the store at the end of the latest evacuation of each failure domain.
    """

    domains: frozenset[str]
    ended_at_version_by_domain: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TargetLeaving:
    """A target announced its end in a response."""

    incarnation: tuple[str, int]


class TargetTask(Task):
    """Owns the directory of targets and publishes its view.

    Parameters
    ----------
    store
        Client that only the follower of this task uses.
    table
        Table in which targets are listed.
    decode
        Decodes an entry; raises :class:`MalformedEntryError` if it cannot.
    on_change
        Called with each new view.
    on_store_unavailable
        Called when the store does not respond. This table changes constantly, so its follower
        notices an outage first.
    on_failure
        See :class:`damasktide.runtime.task.Task`.
    check_in_interval_s
        Interval in seconds at which targets check in; 0 if it is not known.
    uninterrupted_since
        Returns the time on the lease clock since which the store has served the table to this
        instance or to its sources.
    cold_s
        Returns for how many seconds at most a target of a service stays cold.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        decode: TargetDecoder,
        on_change: Callable[[TargetView], None],
        on_store_unavailable: Callable[[], None],
        on_failure: Callable[[TaskFailed], None] | None = None,
        check_in_interval_s: float = 0.0,
        uninterrupted_since: Callable[[], float] = lambda: float("inf"),
        cold_s: Callable[[str], float] = lambda service: float("inf"),
    ) -> None:
        super().__init__("targets", on_failure)
        self.view: Published[TargetView] = Published(TargetView())
        # Whether the complete list has been read.
        self.has_read = False
        # Time on the lease clock at which the store's latest response was requested.
        self.confirmed_at: Published[float] = Published(float("-inf"))
        self._decode = decode
        self._on_change = on_change
        self._on_store_unavailable = on_store_unavailable
        self._directory = TargetDirectory(SURVIVED_INTERVALS * check_in_interval_s, cold_s)
        self._clock = LeaseClock()
        self._uninterrupted_since = uninterrupted_since
        # Time of the last confirmation before the latest outage.
        self._unconfirmed_since = float("-inf")
        self._era: int | None = None
        # Time on the lease clock at which a restore of the store was noticed.
        self._restored_at = float("-inf")
        self._follower = TableFollower(
            store, table, self.tell, BUSY_POLL_SCHEDULE, self.tell, self._fingerprint
        )

    def on_start(self) -> None:
        """Follow the table."""
        self._follower.start()

    @property
    def follower(self) -> TableFollower:
        """The follower of the list."""
        return self._follower

    @every(EXPIRY_INTERVAL_S)
    def _remove_expired(self) -> None:
        for target_id in self._directory.remove_expired(monotonic()):
            logger.bind(target=target_id).info("target removed after the grace period")
        self._publish()

    @every(EXPIRY_INTERVAL_S)
    def _confirm_warm(self) -> None:
        self._directory.confirm_warm(monotonic())
        self._publish()

    @every(EXPIRY_INTERVAL_S)
    def _withdraw_earlier_starts(self) -> None:
        for target_id in self._directory.withdraw_earlier_starts(monotonic()):
            logger.bind(target=target_id).info("target with an earlier start drains")
        self._publish()

    @handles(TableRead, OnError.DROP_MESSAGE)
    def _table_read(self, message: TableRead) -> None:
        state = message.state
        self._check_outage()
        self._check_era(state.version)
        self._apply_rows(message)
        listed_ids = frozenset(row.key for row in state.rows)
        for target_id in self._directory.reconcile(monotonic(), state.version, listed_ids):
            self._log_unlisted(target_id, state.version, message)
        self.has_read = True
        self._confirm(message)
        self._publish()

    @handles(TableChanged, OnError.DROP_MESSAGE)
    def _table_changed(self, message: TableChanged) -> None:
        self._check_outage()
        self._check_era(message.changes.version)
        self._apply_rows(message)
        self._confirm(message)
        self._publish()

    @handles(StoreUnavailable)
    def _store_unavailable(self, message: StoreUnavailable) -> None:
        # Entries of live targets may expire during an outage, so the directory keeps them.
        self._directory.record_store_unavailable()
        self._on_store_unavailable()

    @handles(StoreAvailable)
    def _store_available(self, message: StoreAvailable) -> None:
        # The message with the response follows, so this is the time of the last one before.
        self._unconfirmed_since = self.confirmed_at.value
        unconfirmed_s = self._clock.now() - self._unconfirmed_since
        self._directory.record_store_available(monotonic(), unconfirmed_s)

    @handles(EvacuatedDomains)
    def _evacuated(self, message: EvacuatedDomains) -> None:
        ended_at_version_by_domain = message.ended_at_version_by_domain
        if self._directory.set_evacuated(monotonic(), message.domains, ended_at_version_by_domain):
            logger.bind(
                domains=sorted(message.domains),
                ended_at_version_by_domain=dict(ended_at_version_by_domain),
                unconfirmed=len(self._directory.view.unconfirmed_since_by_id),
            ).info("evacuated failure domains changed")
        self._publish()

    @handles(ColdStartReported)
    def _cold_start_reported(self, message: ColdStartReported) -> None:
        self._directory.record_cold_start(
            message.incarnation, message.returned_at, message.cold_start_remaining_s
        )
        self._publish()

    @handles(TargetLeaving)
    def _leaving(self, message: TargetLeaving) -> None:
        if self._directory.record_leaving(monotonic(), message.incarnation):
            target_id, started_at_ms = message.incarnation
            logger.bind(target=target_id, life=started_at_ms).info("target announced its end")
        self._publish()

    def _check_outage(self) -> None:
        """End the grace period after an outage if the store has served other instances in it."""
        if self._uninterrupted_since() <= self._unconfirmed_since:
            logger.info("the store was unavailable to this instance only")
            self._unconfirmed_since = float("-inf")
            self._directory.record_no_outage(monotonic())

    def _check_era(self, version: int) -> None:
        """Start the grace period if the store has returned from an older copy."""
        if self._era is not None and era_of(version) > self._era:
            logger.bind(version=version).info("targets kept after a restore of the store")
            self._restored_at = self._clock.now()
            self._unconfirmed_since = float("-inf")
            self._directory.record_restored(monotonic())
        self._era = max(era_of(version), self._era or 0)

    def _confirm(self, message: FollowerMessage) -> None:
        """Publish when the list was confirmed, once targets have checked in after a restore.

        The copy may list a process that has ended, while another one listens at its address.
        """
        if message.requested_at >= self._restored_at + EXPIRED_ENTRY_GRACE_S:
            self.confirmed_at.publish(message.requested_at)

    def _apply_rows(self, message: FollowerMessage) -> None:
        now = monotonic()
        for row in message.rows:
            if row.is_dropped:
                if self._directory.record_unlisted(now, row.version, row.key):
                    self._log_unlisted(row.key, row.version, message)
                continue
            entry = self._decode_logged(row)
            if entry is None:
                continue
            if self._directory.record_listed(now, row.version, entry):
                logger.bind(
                    target=row.key,
                    version=row.version,
                    state=entry.state.value,
                    life=entry.started_at_ms,
                    cold_s=entry.cold_start_remaining_s,
                    **provenance(message, self._clock.now()),
                ).info("target changed")

    def _log_unlisted(self, target_id: str, version: int, message: FollowerMessage) -> None:
        is_kept = self._directory.is_kept(target_id)
        logger.bind(
            target=target_id, version=version, **provenance(message, self._clock.now())
        ).info("unlisted target kept after an outage" if is_kept else "target removed")

    def _decode_logged(self, row: Row) -> TargetEntry | None:
        """Return the entry in a row, or log why it is ignored and return None."""
        context = logger.bind(target=row.key, version=row.version)
        try:
            return self._decode(row)
        except MalformedEntryError as error:
            context.warning("ignoring a malformed entry: {}", error)
        except Exception:
            # One entry that the decoder did not foresee must not hide the others.
            context.exception("ignoring an entry that cannot be decoded")
        return None

    def _fingerprint(self, row: Row) -> Hashable:
        """Return the decoded entry, so that a check-in without other changes is not relayed."""
        try:
            return self._decode(row)
        except Exception:
            # _decode_logged logs the error when the row is applied.
            return row.value

    def _publish(self) -> None:
        view = self._directory.view
        if view is not self.view.value:
            self.view.publish(view)
            self._on_change(view)
