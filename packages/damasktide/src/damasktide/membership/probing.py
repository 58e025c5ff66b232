"""Direct and indirect probes of other instances."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from random import Random

PROBE_INTERVAL_S = 0.2
# Longer than a round trip between the regions (60 ms) and one tick of the peer.
DIRECT_TIMEOUT_S = 0.1
# Leaves time for two round trips between the regions for an indirect probe.
PROBE_TIMEOUT_S = 0.3


@dataclass(frozen=True, slots=True)
class Probe:
    """A probe whose ack is outstanding.

    Attributes
    ----------
    probe_id
        Number that the ack echoes.
    target_id
        Id of the probed instance.
    started_at
        Time of the first ping, in seconds.
    is_indirect
        Whether other peers have been asked to ping the target as well.
    """

    probe_id: int
    target_id: str
    started_at: float
    is_indirect: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """A ping that was sent on behalf of another instance."""

    origin_id: str
    origin_probe_id: int
    started_at: float


class Prober:
    """Schedules probes and tracks the outstanding acks.

    Parameters
    ----------
    random
        Random number generator for the probe order.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._last_probe_id = 0
        self._probe_order: list[str] = []
        self._peer_ids: tuple[str, ...] = ()
        self._next_probe_at = 0.0
        self._probe_by_id: dict[int, Probe] = {}
        self._relay_by_id: dict[int, Relay] = {}

    def start_probe(self, peer_ids: tuple[str, ...], now: float) -> Probe | None:
        """Return a new probe if one is due; each round probes all peers in random order."""
        if now < self._next_probe_at or not peer_ids:
            return None
        # Advances from the scheduled time, so that late ticks do not lower the probe rate.
        self._next_probe_at = max(self._next_probe_at + PROBE_INTERVAL_S, now)
        self._update_probe_order(peer_ids)
        probe = Probe(self.next_probe_id(), self._probe_order.pop(), now)
        self._probe_by_id[probe.probe_id] = probe
        return probe

    def _update_probe_order(self, peer_ids: tuple[str, ...]) -> None:
        if peer_ids is not self._peer_ids:
            live_ids = set(peer_ids)
            self._probe_order = [peer_id for peer_id in self._probe_order if peer_id in live_ids]
            # A new peer joins the current round, because a round takes minutes with many peers.
            for peer_id in sorted(live_ids.difference(self._peer_ids)):
                self._probe_order.insert(self._random.randint(0, len(self._probe_order)), peer_id)
            self._peer_ids = peer_ids
        if not self._probe_order:
            self._probe_order = self._random.sample(peer_ids, len(peer_ids))

    def next_probe_id(self) -> int:
        """Return a probe id that no earlier ping of this instance used."""
        self._last_probe_id += 1
        return self._last_probe_id

    def start_relay(self, origin_id: str, origin_probe_id: int, now: float) -> int:
        """Return the probe id for a ping that is sent on behalf of another instance."""
        probe_id = self.next_probe_id()
        self._relay_by_id[probe_id] = Relay(origin_id, origin_probe_id, now)
        return probe_id

    def acknowledge(self, probe_id: int) -> Relay | None:
        """End a probe, or return the relay whose origin has to receive the ack."""
        self._probe_by_id.pop(probe_id, None)
        return self._relay_by_id.pop(probe_id, None)

    def late_probes(self, now: float) -> Iterator[Probe]:
        """Yield the probes whose direct ping has timed out, each once."""
        for probe in tuple(self._probe_by_id.values()):
            if not probe.is_indirect and now - probe.started_at >= DIRECT_TIMEOUT_S:
                self._probe_by_id[probe.probe_id] = replace(probe, is_indirect=True)
                yield probe

    def failed_probes(self, now: float) -> Iterator[Probe]:
        """End and yield the probes that have timed out; drop relays that have timed out."""
        for probe in tuple(self._probe_by_id.values()):
            if now - probe.started_at >= PROBE_TIMEOUT_S:
                del self._probe_by_id[probe.probe_id]
                yield probe
        for probe_id, relay in tuple(self._relay_by_id.items()):
            if now - relay.started_at >= PROBE_TIMEOUT_S:
                del self._relay_by_id[probe_id]

    def reset(self) -> None:
        """Drop all probes and relays, without counting them as failed."""
        self._probe_by_id.clear()
        self._relay_by_id.clear()
