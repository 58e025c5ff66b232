"""Call summaries of this instance and of others; a state machine without I/O."""

from collections.abc import Iterable, Iterator
from math import exp, log

from damasktide.capacity.codec import MAX_RECORDS
from damasktide.capacity.messages import CallSummary, Record, Scope, SummaryReply, SummaryRequest

# Decay time constant of shared summaries. A target has about 8 calls/s, so its mean is that of
# some 30 calls, and a target that becomes slow is noticed within a second or two.
SHARED_TAU_S = 4.0
# Largest weight of one instance in the mean of a target. An instance has about 0.1 calls/s to each
# target, so it is rarely reached; it bounds the effect of an instance that measures wrongly.
MAX_INSTANCE_WEIGHT = 4.0
# Bound of a logarithmic duration ratio, for calls and for records of other instances.
MAX_LOG_RATIO = log(6.0)
# Largest weight of a record that sums up a failure domain or several.
MAX_SUM_WEIGHT = 100.0
# Summaries with a smaller weight are dropped.
MIN_WEIGHT = 0.02
# An instance below this one that is silent for this time may report to another one meanwhile, so
# its summaries are dropped. It has then missed two exchanges.
MAX_SILENCE_S = 2.5
# A parent that has not replied for this time may have dropped the summaries of this instance.
RESEND_AFTER_S = 2.0
# Weights are stored as at a reference time. It is moved after this many time constants, before
# they become too large.
REFERENCE_TIME_CONSTANTS = 10.0

_OWN = ""


class SummaryTable:
    """Adds the call summaries of this instance, the instances below it and those above it.

    All instances decay summaries by the same time constant, so that a summary that is not sent
    again is the same at its sender and at its receivers. A record replaces the former one of its
    sender, so that a repeated message changes nothing.

    Times are seconds on the monotonic clock. Sources of summaries are named: the instances below
    this one, its parent in the relay tree, or the other roots.

    Parameters
    ----------
    epoch
        Random number that identifies this run of the process; not 0.
    tau_s
        Decay time constant in seconds.
    max_own_weight
        Largest weight of this instance in the mean of a target.
    """

    def __init__(
        self,
        epoch: int,
        tau_s: float = SHARED_TAU_S,
        max_own_weight: float = MAX_INSTANCE_WEIGHT,
    ) -> None:
        self.epoch = epoch
        self.tau_s = tau_s
        self._max_own_weight = max_own_weight
        self._reference = 0.0
        self._version = 0
        # Weights in the tables are those at the reference time.
        self._table_by_source: dict[str, dict[int, CallSummary]] = {_OWN: {}}
        self._heard_at_by_child: dict[str, float] = {}
        self._sum_by_incarnation: dict[int, CallSummary] = {}
        self._subtree_by_incarnation: dict[int, CallSummary] = {}
        self._version_by_incarnation: dict[int, int] = {}
        self._subtree_version_by_incarnation: dict[int, int] = {}
        # Epoch and version of each source's last reply, and the version last sent to it.
        self._known_by_source: dict[str, tuple[int, int]] = {}
        self._sent_version_by_source: dict[str, int] = {}
        self._replied_at_by_source: dict[str, float] = {}

    def record_call(
        self, now: float, incarnation: int, log_ratio: float, weight: float, is_high: bool
    ) -> None:
        """Record a call of this instance."""
        bounded = weight * max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_ratio))
        call = CallSummary(0.0, 0.0, weight, bounded) if is_high else CallSummary(weight, bounded)
        scale = self._scale(now)
        former = self._table_by_source[_OWN].get(incarnation, CallSummary())
        summary = former.scaled(1.0 / scale).bounded(self._max_own_weight - weight).plus(call)
        self._replace(_OWN, incarnation, summary.scaled(scale))

    def summary(self, now: float, incarnation: int) -> CallSummary:
        """Return the summary over all known instances."""
        summary = self._sum_by_incarnation.get(incarnation)
        return summary.scaled(1.0 / self._scale(now)) if summary is not None else CallSummary()

    def request(self, now: float, receiver: str, scope: Scope) -> tuple[SummaryRequest, int]:
        """Return the next request to the parent or another root, and the version that it is of."""
        epoch, version = self._known_by_source.get(receiver, (0, 0))
        if scope is Scope.DOMAIN:
            return SummaryRequest(scope, epoch, version), self._version
        is_remembered = now - self._replied_at_by_source.get(receiver, now) < RESEND_AFTER_S
        since = self._sent_version_by_source.get(receiver, 0) if is_remembered else 0
        changed, sent_version = self._changed_since(since, self._subtree_version_by_incarnation)
        scale = 1.0 / self._scale(now)
        records = tuple(
            (incarnation, self._subtree_by_incarnation[incarnation].scaled(scale))
            for incarnation in changed
        )
        return SummaryRequest(scope, epoch, version, records), sent_version

    def serve(
        self, now: float, sender: str, request: SummaryRequest, max_weight: float
    ) -> SummaryReply:
        """Merge the summaries of a request of an instance, and return those that are new to it.

        Parameters
        ----------
        now
            Time.
        sender
            Name of the instance.
        request
            Its request.
        max_weight
            Limit on the weight of each of its records.
        """
        if request.scope is Scope.REST:
            self._heard_at_by_child[sender] = now
            self._merge(now, sender, request.records, max_weight)
        since = request.known_version if request.known_epoch == self.epoch else 0
        is_domain = request.scope is Scope.DOMAIN
        version_by_incarnation = (
            self._subtree_version_by_incarnation if is_domain else self._version_by_incarnation
        )
        changed, version = self._changed_since(since, version_by_incarnation)
        scale = 1.0 / self._scale(now)
        sums = self._subtree_by_incarnation if is_domain else self._sum_by_incarnation
        excluded = {} if is_domain else self._table_by_source.get(sender, {})
        records = tuple(
            (incarnation, _difference(sums[incarnation], excluded.get(incarnation)).scaled(scale))
            for incarnation in changed
        )
        return SummaryReply(self.epoch, version, records)

    def merge_reply(
        self,
        now: float,
        source: str,
        request: SummaryRequest,
        sent_version: int,
        reply: SummaryReply,
    ) -> None:
        """Merge the reply of the parent or of another root.

        ``sent_version`` is what :meth:`request` returned with ``request``.
        """
        if self._heard_at_by_child.pop(source, None) is not None:
            # The instance was below this one and has taken its place.
            self._drop_source(source)
        has_restarted = request.known_epoch not in (0, reply.epoch)
        self._sent_version_by_source[source] = 0 if has_restarted else sent_version
        self._replied_at_by_source[source] = now
        self._known_by_source[source] = (reply.epoch, reply.version)
        self._merge(now, source, reply.records, MAX_SUM_WEIGHT)

    def must_send_all(self, receiver: str) -> bool:
        """Return whether the receiver lacks records of this instance, because it has restarted."""
        return (
            self._sent_version_by_source.get(receiver) == 0
            and len(self._subtree_version_by_incarnation) > 0
        )

    def retain_upstream(self, names: Iterable[str]) -> None:
        """Drop the summaries of former parents and roots; call this after another one replied.

        The others report the same calls, which would be counted twice.
        """
        kept = {_OWN, *names, *self._heard_at_by_child}
        for source in set(self._table_by_source) - kept:
            self._drop_source(source)
            self._known_by_source.pop(source, None)
            self._sent_version_by_source.pop(source, None)

    def drop_silent(self, now: float) -> None:
        """Drop the summaries of instances below this one that report no longer."""
        for sender, heard_at in list(self._heard_at_by_child.items()):
            if now - heard_at > MAX_SILENCE_S:
                del self._heard_at_by_child[sender]
                self._drop_source(sender)

    def _merge(
        self, now: float, source: str, records: Iterable[Record], max_weight: float
    ) -> None:
        scale = self._scale(now)
        for incarnation, summary in records:
            bounded = _bounded_means(summary.bounded(max_weight))
            self._replace(source, incarnation, bounded.scaled(scale))

    def _replace(self, source: str, incarnation: int, summary: CallSummary) -> None:
        table = self._table_by_source.setdefault(source, {})
        change = summary.plus(table.get(incarnation, CallSummary()), -1.0)
        table[incarnation] = summary
        self._version += 1
        self._version_by_incarnation[incarnation] = self._version
        sums = self._sum_by_incarnation
        sums[incarnation] = sums.get(incarnation, CallSummary()).plus(change)
        if source == _OWN or source in self._heard_at_by_child:
            self._subtree_version_by_incarnation[incarnation] = self._version
            subtree = self._subtree_by_incarnation
            subtree[incarnation] = subtree.get(incarnation, CallSummary()).plus(change)

    def _drop_source(self, source: str) -> None:
        table = self._table_by_source.pop(source, None)
        if table is None:
            return
        self._rebuild_sums()
        for incarnation in table:
            self._version += 1
            self._version_by_incarnation[incarnation] = self._version
            self._subtree_version_by_incarnation[incarnation] = self._version

    def _changed_since(
        self, since: int, version_by_incarnation: dict[int, int]
    ) -> tuple[list[int], int]:
        """Return what has changed since a version, and the version up to which it is complete."""
        changed = sorted(
            (version, incarnation)
            for incarnation, version in version_by_incarnation.items()
            if version > since
        )
        is_complete = len(changed) <= MAX_RECORDS
        changed = changed[:MAX_RECORDS]
        version = self._version if is_complete else changed[-1][0]
        return [incarnation for _, incarnation in changed], version

    def _scale(self, now: float) -> float:
        """Return the factor from a weight at ``now`` to its equivalent at the reference time."""
        if now - self._reference > REFERENCE_TIME_CONSTANTS * self.tau_s:
            self._move_reference(now)
        return exp((now - self._reference) / self.tau_s)

    def _move_reference(self, now: float) -> None:
        factor = exp((self._reference - now) / self.tau_s)
        self._reference = now
        for source, table in self._table_by_source.items():
            self._table_by_source[source] = dict(_decayed(table, factor))
        known = {key for table in self._table_by_source.values() for key in table}
        for versions in (self._version_by_incarnation, self._subtree_version_by_incarnation):
            for incarnation in set(versions) - known:
                del versions[incarnation]
        self._rebuild_sums()

    def _rebuild_sums(self) -> None:
        self._sum_by_incarnation = dict.fromkeys(self._version_by_incarnation, CallSummary())
        self._subtree_by_incarnation = dict.fromkeys(
            self._subtree_version_by_incarnation, CallSummary()
        )
        for source, table in self._table_by_source.items():
            is_below = source == _OWN or source in self._heard_at_by_child
            for incarnation, summary in table.items():
                known = self._sum_by_incarnation.get(incarnation, CallSummary())
                self._sum_by_incarnation[incarnation] = known.plus(summary)
                if is_below:
                    known = self._subtree_by_incarnation.get(incarnation, CallSummary())
                    self._subtree_by_incarnation[incarnation] = known.plus(summary)


def _decayed(table: dict[int, CallSummary], factor: float) -> Iterator[Record]:
    for incarnation, summary in table.items():
        decayed = summary.scaled(factor)
        if decayed.weight >= MIN_WEIGHT:
            yield incarnation, decayed


def _difference(summary: CallSummary, excluded: CallSummary | None) -> CallSummary:
    """Return the summary without an excluded part; rounding may not leave negative weights."""
    if excluded is None:
        return summary
    rest = summary.plus(excluded, -1.0)
    low_is_empty = rest.low_weight <= 0.0
    high_is_empty = rest.high_weight <= 0.0
    return CallSummary(
        0.0 if low_is_empty else rest.low_weight,
        0.0 if low_is_empty else rest.low_sum,
        0.0 if high_is_empty else rest.high_weight,
        0.0 if high_is_empty else rest.high_sum,
    )


def _bounded_means(summary: CallSummary) -> CallSummary:
    return CallSummary(
        summary.low_weight,
        _bounded_sum(summary.low_sum, summary.low_weight),
        summary.high_weight,
        _bounded_sum(summary.high_sum, summary.high_weight),
    )


def _bounded_sum(total: float, weight: float) -> float:
    return max(-MAX_LOG_RATIO * weight, min(MAX_LOG_RATIO * weight, total))
