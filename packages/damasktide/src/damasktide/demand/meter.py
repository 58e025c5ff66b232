"""Measures the demand on keys at one instance; a state machine without I/O."""

from math import exp

from damasktide.demand.messages import BUCKET_KEYS, BucketId, service_hash

# Decay time constant of the demand. Shorter than the few seconds for which a key stays hot, and
# long enough for some requests of a moderately busy bucket at one instance.
DEMAND_TAU_S = 2.5
# A bucket whose load has decayed below this is forgotten.
MIN_LOAD = 0.002
# All buckets decay together, this often.
DECAY_INTERVAL_S = 0.25


class DemandMeter:
    """Sums the work of the requests to each bucket of keys, with exponential decay.

    Times are seconds on the monotonic clock.
    """

    def __init__(self) -> None:
        self._work_s_by_bucket: dict[BucketId, float] = {}
        self._decayed_at = 0.0

    def record_request(self, now: float, service: str, key: int, work_s: float) -> None:
        """Record a request for ``key`` that takes ``work_s`` seconds at a typical target."""
        self._decay(now)
        bucket = (service_hash(service), key // BUCKET_KEYS)
        self._work_s_by_bucket[bucket] = self._work_s_by_bucket.get(bucket, 0.0) + work_s

    def loads(self, now: float) -> dict[BucketId, float]:
        """Return the load of each bucket, in occupied slots."""
        self._decay(now)
        return {bucket: work_s / DEMAND_TAU_S for bucket, work_s in self._work_s_by_bucket.items()}

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._decayed_at
        if elapsed_s < DECAY_INTERVAL_S:
            return
        self._decayed_at = now
        factor = exp(-elapsed_s / DEMAND_TAU_S)
        self._work_s_by_bucket = {
            bucket: work_s * factor
            for bucket, work_s in self._work_s_by_bucket.items()
            if work_s * factor > MIN_LOAD * DEMAND_TAU_S
        }
