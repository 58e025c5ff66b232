"""Simulation of instances that dispatch requests to targets, on a virtual clock.

The dispatcher, the learner and the exchange of summaries are the real ones. Simulated are callers,
targets, hedges, deadlines and the exchange of load reports.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random

from damasktide.capacity.learner import make_learner
from damasktide.capacity.task import CapacityExchange
from damasktide.dispatch.dispatcher import Dispatcher
from damasktide.dispatch.load_estimate import LoadReport
from damasktide.dispatch.messages import CallOutcome, NoTarget, TargetQuery, TargetSelection
from damasktide.relay.sources import RelaySourceSelector
from damasktide.relay.tree import RelayPeer, relay_order
from damasktide.routing.configuration import Service
from damasktide.targets.target import TargetEntry, TargetState, TargetView

REGION_BY_DOMAIN = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
DOMAINS = tuple(REGION_BY_DOMAIN)
INSTANCES, TARGETS, SLOTS, QUEUE = 78, 124, 6, 24
SERVICE = Service("desk", cold_requests_per_s=8.0)
OBJECTIVE_S, DEADLINE_S = 1.0, 4.0
CALL_S, CALL_SPREAD = 0.36, 0.5
TAIL_FRACTION, TAIL_FACTOR = 0.02, 6.0
BUSY_SLOWDOWN = 0.25
HEDGE_FACTOR, HEDGED_FRACTION = 2.0, 0.1
MAX_ATTEMPTS = 3
NOISE_INTERVAL_S, NOISY_FRACTION, NOISE_FACTOR = 0.4, 0.2, 3.0
REPORT_INTERVAL_S = 0.5
WARM_UP_S = 5.0


@dataclass(frozen=True)
class Load:
    """What the targets do in one simulation."""

    speeds: tuple[float, ...] = (1.0,)
    requests_per_s: float = 900.0
    has_knee: bool = False
    has_noise: bool = False
    hangs: bool = False
    # Targets that are slowed down by a factor between two times.
    slow: dict[int, tuple[float, float, float]] = field(default_factory=dict)
    cold: dict[int, float] = field(default_factory=dict)
    report_by_target: dict[int, Callable[[LoadReport], LoadReport]] = field(default_factory=dict)


@dataclass(frozen=True)
class Figures:
    """Result of one simulation, after the warm-up."""

    mean_s: float
    p99_s: float
    busiest_over_mean: float
    unanswered: int
    refused: int
    requests: int


class Target:
    """A target with slots and a queue."""

    def __init__(self, world: "World", number: int) -> None:
        self.world = world
        self.number = number
        self.speed = world.load.speeds[number % len(world.load.speeds)]
        domain = DOMAINS[number // len(world.load.speeds) % len(DOMAINS)]
        self.entry = TargetEntry(
            f"t{number}", 1, SERVICE.name, domain, ("t", number), SLOTS, TargetState.READY
        )
        self.running = 0
        self.queue: list[tuple[float, Call]] = []
        self.arrivals = 0

    def stated_slowdown(self, now: float) -> float:
        epoch = int(now / NOISE_INTERVAL_S)
        is_noisy = hash((epoch, self.number, self.world.seed)) % 1000 < 1000 * NOISY_FRACTION
        return NOISE_FACTOR if self.world.load.has_noise and is_noisy else 1.0

    def finish_at(self, now: float, work_s: float) -> float:
        load = self.world.load
        occupancy = self.running / SLOTS
        work_s *= (1.0 + BUSY_SLOWDOWN * occupancy**2) / self.speed
        if load.has_knee:
            work_s *= 1.0 + 0.5 * max(0.0, self.running - SLOTS / 2)
        factor, since, until = load.slow.get(self.number, (1.0, 0.0, 0.0))
        if since <= now < until:
            work_s *= factor
        if now < load.cold.get(self.number, 0.0):
            work_s *= 3.0
        while load.has_noise:
            slowdown = self.stated_slowdown(now)
            epoch_end = (int(now / NOISE_INTERVAL_S) + 1) * NOISE_INTERVAL_S
            if work_s * slowdown <= epoch_end - now:
                return now + work_s * slowdown
            work_s -= (epoch_end - now) / slowdown
            now = epoch_end + 1e-6
        return now + work_s

    def report(self, now: float) -> LoadReport:
        report = LoadReport(self.running, len(self.queue), SLOTS, self.stated_slowdown(now))
        change = self.world.load.report_by_target.get(self.number)
        return change(report) if change is not None else report

    def receive(self, work_s: float, call: "Call") -> None:
        if self.running < SLOTS:
            self._run(work_s, call)
        elif len(self.queue) < QUEUE:
            self.queue.append((work_s, call))
        elif not self.world.load.hangs:
            call.end(self, is_shed=True, report=self.report(self.world.now))

    def _run(self, work_s: float, call: "Call") -> None:
        self.running += 1
        finish_at = self.finish_at(self.world.now, work_s)
        self.world.schedule(finish_at, lambda: self._finish(call))

    def _finish(self, call: "Call") -> None:
        self.running -= 1
        report = self.report(self.world.now)
        if self.queue:
            self._run(*self.queue.pop(0))
        dispatcher = call.request.dispatcher
        self.world.share_report(self, dispatcher.limited_report(self.entry.incarnation, report))
        call.end(self, report=report)


class Call:
    """One request to one target."""

    def __init__(self, request: "Request", selection: TargetSelection) -> None:
        self.request = request
        self.selection = selection
        self.started_at = request.world.now
        self.has_ended = False

    def end(self, target: Target | None, **outcome: object) -> None:
        if self.has_ended:
            return
        self.has_ended = True
        world = self.request.world
        self.request.dispatcher.record_outcome(
            world.now,
            CallOutcome(
                self.selection.entry,
                "read",
                world.now - self.started_at,
                load_factor=self.selection.load_factor,
                **outcome,  # type: ignore[arg-type]
            ),
        )
        if target is not None:
            self.request.call_ended(bool(outcome.get("is_shed")))


class Request:
    """A request with its attempts."""

    def __init__(self, world: "World") -> None:
        self.world = world
        rng = world.rng
        self.dispatcher = rng.choice(world.dispatchers)
        tail = TAIL_FACTOR if rng.random() < TAIL_FRACTION else 1.0
        self.work_s = CALL_S * tail * rng.lognormvariate(-(CALL_SPREAD**2) / 2, CALL_SPREAD)
        self.started_at = world.now
        self.tried: list[str] = []
        self.calls: list[Call] = []
        self.is_done = False
        world.schedule(world.now + DEADLINE_S, self._deadline)
        self._send(is_hedge=False)

    def _send(self, is_hedge: bool) -> None:
        world = self.world
        remaining_s = self.started_at + DEADLINE_S - world.now
        query = TargetQuery(
            SERVICE, "read", OBJECTIVE_S, remaining_s, tried_ids=frozenset(self.tried)
        )
        selection = self.dispatcher.choose(world.now, query)
        if isinstance(selection, NoTarget):
            if not is_hedge:
                self._finish(world.refused)
            return
        call = Call(self, selection)
        if is_hedge and not selection.has_free_slot:
            call.end(None, is_abandoned=True)
            return
        world.hedges += is_hedge
        self.tried.append(selection.entry.target_id)
        self.calls.append(call)
        target = world.targets[selection.entry.address[1]]
        target.arrivals += world.now >= WARM_UP_S
        if not is_hedge:
            hedge_at = world.now + max(0.1, HEDGE_FACTOR * selection.expected_s)
            world.schedule(hedge_at, self._hedge)
        target.receive(self.work_s, call)

    def _hedge(self) -> None:
        world = self.world
        is_allowed = world.hedges < HEDGED_FRACTION * world.request_count
        if not self.is_done and is_allowed and len(self.tried) < MAX_ATTEMPTS:
            self._send(is_hedge=True)

    def call_ended(self, is_shed: bool) -> None:
        if self.is_done:
            return
        if not is_shed:
            self._finish(self.world.durations)
        elif all(call.has_ended for call in self.calls):
            if len(self.tried) < MAX_ATTEMPTS:
                self._send(is_hedge=False)
            else:
                self._finish(self.world.refused)

    def _deadline(self) -> None:
        if not self.is_done:
            self._finish(self.world.unanswered)

    def _finish(self, results: list[float]) -> None:
        self.is_done = True
        if self.started_at >= WARM_UP_S:
            results.append(self.world.now - self.started_at)
        is_timeout = results is self.world.unanswered
        for call in self.calls:
            call.end(None, is_abandoned=not is_timeout, has_no_response=is_timeout)


class Relay:
    """Links of one instance; calls run at once."""

    def __init__(self, world: "World", name: str, domain: str) -> None:
        self._world = world
        self._name = name
        self.sources = RelaySourceSelector(name)
        self.sources.set_order(world.order_by_domain[domain])
        self.other_roots = tuple(
            order[0] for other, order in world.order_by_domain.items() if other != domain
        )

    def serve(self, kind: str, handler: Callable[[str, bytes], bytes]) -> None:
        self._world.handler_by_name[self._name] = handler

    def call(self, peer: RelayPeer, kind: str, body: bytes, timeout_s: float) -> bytes | None:
        reply = self._world.handler_by_name[peer.name](f"{self._name}#1", body)
        self._world.exchanged_bytes += len(body) + len(reply)
        return reply


class World:
    """All instances and targets."""

    def __init__(self, load: Load, mode: str, policy: str, seed: int = 1) -> None:
        self.load, self.mode, self.policy, self.seed = load, mode, policy, seed
        self.rng = Random(seed)
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self.durations: list[float] = []
        self.unanswered: list[float] = []
        self.refused: list[float] = []
        self.hedges = self.request_count = self.exchanged_bytes = 0
        self.targets = [Target(self, number) for number in range(TARGETS)]
        self._full_reports: dict[int, LoadReport] = {}
        self._news: dict[int, tuple[float, LoadReport]] = {}
        domain_by_name = {f"i{n}": DOMAINS[n % len(DOMAINS)] for n in range(INSTANCES)}
        self.order_by_domain = {
            domain: relay_order(
                RelayPeer(name, (name, 1), 100.0)
                for name, other in domain_by_name.items()
                if other == domain
            )
            for domain in DOMAINS
        }
        self.handler_by_name: dict[str, Callable[[str, bytes], bytes]] = {}
        self.exchange_by_name: dict[str, CapacityExchange] = {}
        self.dispatchers = [self.start_instance(*item) for item in domain_by_name.items()]
        self.schedule(REPORT_INTERVAL_S, self._share_reports)
        self.schedule(0.0, self._arrive)

    def start_instance(self, name: str, domain: str) -> Dispatcher:
        learner, table = make_learner(self.mode, self.rng.getrandbits(32) | 1)
        dispatcher = Dispatcher(
            domain, REGION_BY_DOMAIN, name, Random(name), self.policy, learner=learner
        )
        entries = [
            replace(target.entry, cold_start_remaining_s=self.load.cold.get(target.number, 0.0))
            for target in self.targets
        ]
        view = TargetView(
            {entry.target_id: entry for entry in entries}, {SERVICE.name: tuple(entries)}
        )
        dispatcher.set_targets(self.now, view)
        if self.mode == "shared":
            exchange = CapacityExchange(
                name,
                Relay(self, name, domain),  # type: ignore[arg-type]
                table,
                clock=lambda: self.now,
            )
            self.exchange_by_name[name] = exchange
            self.schedule(self.now + self.rng.random(), lambda: self._exchange(name, exchange))
        return dispatcher

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        heappush(self._events, (at, next(self._order), action))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heappop(self._events)
            action()
        self.now = until

    def share_report(self, target: Target, report: LoadReport) -> None:
        """Keep a report for the other instances if its target is full, or was before."""
        is_full = report.running + report.waiting >= report.slots
        if is_full or target.number in self._full_reports:
            self._news[target.number] = (self.now, report)
            self._full_reports[target.number] = report
            if not is_full:
                del self._full_reports[target.number]

    def figures(self) -> Figures:
        durations = sorted(self.durations)
        shares = [target.arrivals / target.speed for target in self.targets]
        return Figures(
            sum(durations) / len(durations),
            durations[int(0.99 * len(durations))],
            max(shares) / (sum(shares) / len(shares)),
            len(self.unanswered),
            len(self.refused),
            len(durations) + len(self.unanswered) + len(self.refused),
        )

    def _arrive(self) -> None:
        self.request_count += 1
        Request(self)
        self.schedule(self.now + self.rng.expovariate(self.load.requests_per_s), self._arrive)

    def _exchange(self, name: str, exchange: CapacityExchange) -> None:
        if self.exchange_by_name[name] is exchange:
            exchange.on_wake()
            self.schedule(exchange.next_wake_at() or 0.0, lambda: self._exchange(name, exchange))

    def _share_reports(self) -> None:
        for number, (at, report) in self._news.items():
            incarnation = self.targets[number].entry.incarnation
            for dispatcher in self.dispatchers:
                dispatcher.record_peer_report(self.now, incarnation, report, self.now - at)
        self._news.clear()
        self.schedule(self.now + REPORT_INTERVAL_S, self._share_reports)


def simulate(load: Load, mode: str, policy: str, seconds: float = 15.0, seed: int = 1) -> Figures:
    """Return the figures of a load under a policy."""
    world = World(load, mode, policy, seed)
    world.run(seconds)
    return world.figures()
