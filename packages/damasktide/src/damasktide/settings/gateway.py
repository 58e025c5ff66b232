"""Settings of an instance that serves as a gateway on a platform."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Literal

from damasktide.dispatch.retry_allowance import RetryLimits
from damasktide.quotas.limits import QuotaLimits
from damasktide.settings.model import Address

TargetLearning = Literal["off", "own", "shared"]


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Validated settings of a gateway instance.

    Attributes
    ----------
    instance
        Name of the machine.
    domain
        Its failure domain.
    region_by_domain
        Region of each failure domain.
    listen
        Address for callers.
    readiness
        Address that serves the platform's readiness probe.
    store
        Address of the platform's store.
    retry_limits
        Limits on retries over all instances.
    quota_limits
        Bound on the requests of an organisation with a usage cap.
    stop_grace_s
        Seconds from the stop signal to the end of the process.
    peer_listen
        Address for calls of other instances, or None if there is none.
    link_mbps
        Bandwidth of the machine's network link in Mbit/s.
    memory_mb
        Memory of the machine in MB, or 0 if it is not known.
    longest_hold_s
        Longest time in seconds for which keys may be granted.
    drain_s
        Seconds for which a target that announced its end still serves requests.
    check_in_interval_s
        Interval in seconds at which targets check in; 0 if it is not known.
    target_learning
        What is learned of the speed and the concurrency limit of targets: ``off`` for the speed
        seen by this instance's own calls, ``own`` for both from its own calls, and ``shared`` for
        both from the calls of all instances.
    log_level
        Minimum level of log lines.
    """

    instance: str
    domain: str
    region_by_domain: Mapping[str, str]
    listen: Address
    readiness: Address
    store: Address
    retry_limits: RetryLimits = field(default_factory=RetryLimits)
    quota_limits: QuotaLimits = field(default_factory=QuotaLimits)
    stop_grace_s: float = 6.0
    longest_hold_s: float = 10.0
    peer_listen: Address | None = None
    link_mbps: float = 0.0
    drain_s: float = 0.0
    check_in_interval_s: float = 0.0
    target_learning: TargetLearning = "off"
    log_level: str = "INFO"
    memory_mb: float = 0.0
