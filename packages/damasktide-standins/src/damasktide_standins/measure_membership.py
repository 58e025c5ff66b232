"""Measures the cost of membership per instance and the rate of false failure declarations."""

from collections import defaultdict
from dataclasses import dataclass
from time import process_time

import click

from damasktide.membership.datagrams import Datagram
from damasktide.membership.guard import DatagramGuard
from damasktide.membership.instances import InstanceState
from damasktide.membership.messages import AnnounceVersion
from damasktide.membership.swim import Effect, Event
from damasktide.membership.tests.in_process import InProcessNetwork

INSTANCE_COUNTS = (9, 25, 50, 100, 200, 400)
VERSION_NAMES = ("configuration", "ownership/batch-desk", "ownership/lot-ledger")
JOIN_TIMEOUT_S = 60.0
# When all instances start at once, each one still passes on the claims about all others after
# they have discovered each other.
SETTLE_S = 15.0
SETTLE_S_PER_INSTANCE = 0.25
KEY = b"shared key of all instances 0123"


class MeteredNetwork(InProcessNetwork):
    """Simulated network that encodes and decodes each datagram and measures the cost.

    Counts datagrams, bytes and processor time. The processor time covers the state machine, the
    codec, the authentication and the replay window, but neither sockets nor greenlets nor the
    simulation itself.
    """

    def __init__(self, instances: int, seed: int) -> None:
        # All recipients can share one guard: the sequence numbers of a sender are unique over
        # all of its recipients.
        self._receiver_guard = DatagramGuard(KEY)
        self._sender_guard_by_id: dict[str, DatagramGuard] = defaultdict(
            lambda: DatagramGuard(KEY)
        )
        super().__init__(instances, seed, transport=self._carry)
        self.is_metered = False
        self.reset()

    def reset(self) -> None:
        """Reset the counters for a new measurement."""
        self.sent_bytes = 0
        self.datagrams = 0
        self.cpu_s = 0.0

    def effects_of(self, instance_id: str, event: Event) -> tuple[Effect, ...]:
        """Step an instance and measure its processor time."""
        started_s = process_time()
        effects = super().effects_of(instance_id, event)
        self.cpu_s += process_time() - started_s
        return effects

    def _carry(self, sender_id: str, datagram: Datagram) -> Datagram | None:
        if not self.is_metered:
            return datagram
        started_s = process_time()
        sealed = self._sender_guard_by_id[sender_id].seal(datagram)
        result = self._receiver_guard.unseal(sealed)
        self.cpu_s += process_time() - started_s
        self.sent_bytes += len(sealed)
        self.datagrams += 1
        return result


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of membership per instance and second.

    Attributes
    ----------
    datagrams, sent_bytes
        Datagrams and bytes sent per second; on average, as many are received.
    cpu_us
        Processor time per second, in microseconds.
    """

    datagrams: float
    sent_bytes: float
    cpu_us: float


def _wait_until_settled(network: InProcessNetwork) -> None:
    ids = set(network.ids)
    if not network.run_until(lambda: network.all_views_match(ids), JOIN_TIMEOUT_S):
        raise click.ClickException("the instances did not discover each other in time")
    for instance_id in network.ids:
        for name in VERSION_NAMES:
            network.step(instance_id, AnnounceVersion(name, 1))
    network.run(SETTLE_S + SETTLE_S_PER_INSTANCE * len(network.ids))


def _measure(network: MeteredNetwork, seconds: float) -> Cost:
    network.reset()
    network.is_metered = True
    network.run(seconds)
    network.is_metered = False
    instance_seconds = seconds * len(network.swim_state_by_id)
    return Cost(
        network.datagrams / instance_seconds,
        network.sent_bytes / instance_seconds,
        network.cpu_s / instance_seconds * 1e6,
    )


@click.group()
def main() -> None:
    """Measure the membership protocol in simulated time."""


@main.command()
@click.option("--seconds", default=10.0, show_default=True, help="Simulated time per row.")
@click.option("--seed", default=1, show_default=True)
def cost(seconds: float, seed: int) -> None:
    """Print bytes and processor time per instance and second, when idle and after a loss."""
    click.echo("instances  state  datagrams/s  bytes/s sent  bytes/s sent+received  cpu us/s")
    for instances in INSTANCE_COUNTS:
        network = MeteredNetwork(instances, seed)
        _wait_until_settled(network)
        _print_cost(instances, "quiet", _measure(network, seconds))
        network.kill(network.ids[-1])
        _print_cost(instances, "loss", _measure(network, 3.0))


def _print_cost(instances: int, state: str, measured: Cost) -> None:
    click.echo(
        f"{instances:9}  {state:5}  {measured.datagrams:11.1f}  {measured.sent_bytes:12.0f}"
        f"  {2 * measured.sent_bytes:21.0f}  {measured.cpu_us:8.0f}"
    )


@main.command()
@click.option("--instances", default=50, show_default=True)
@click.option("--trials", default=100, show_default=True, help="Pauses per row.")
@click.option("--delay-ms", default=1.0, show_default=True, help="One-way delay.")
@click.option("--loss", default=0.0, show_default=True, help="Share of lost datagrams.")
@click.option("--seed", default=1, show_default=True)
def pauses(instances: int, trials: int, delay_ms: float, loss: float, seed: int) -> None:
    """Print how often a paused instance, and how often any other one, is declared failed."""
    click.echo("pause s  suspected  failed for anyone  failed, share of views  others failed")
    for pause_s in (0.5, 0.75, 1.0, 2.0, 4.0):
        network = InProcessNetwork(instances, seed, delay_ms / 1000, loss)
        _wait_until_settled(network)
        _print_pauses(network, pause_s, trials)


def _print_pauses(network: InProcessNetwork, pause_s: float, trials: int) -> None:
    suspected = failed = views = others = 0
    for _ in range(trials):
        paused_id = network.random.choice(network.ids)
        paused_at = network.now
        network.pause(paused_id, pause_s)
        network.run(pause_s + 3.0)
        recent = [declared for declared in network.state_changes if declared.at >= paused_at]
        suspected += any(declared.state is InstanceState.SUSPECT for declared in recent)
        failures = [declared for declared in recent if declared.state is InstanceState.FAILED]
        observers = {one.observer_id for one in failures if one.instance_id == paused_id}
        failed += bool(observers)
        views += len(observers)
        others += sum(declared.instance_id != paused_id for declared in failures)
    share = views / (trials * (len(network.ids) - 1))
    click.echo(
        f"{pause_s:7}  {suspected:5}/{trials}  {failed:13}/{trials}  {share:22.4f}  {others:13}"
    )


if __name__ == "__main__":
    main()
