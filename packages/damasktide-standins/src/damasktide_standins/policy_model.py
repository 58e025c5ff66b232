"""Discrete-event simulation of callers, instances and targets with the real balancing code."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from math import floor
from random import Random

from damasktide.balancing.balancer import Balancer
from damasktide.balancing.locality import LinkBudget, Locality
from damasktide.balancing.messages import (
    CallOutcome,
    Done,
    LoadReported,
    Pick,
    Picked,
    SharesChanged,
)
from damasktide.balancing.outliers import MAX_EJECTED_FRACTION, OutlierDetector
from damasktide.balancing.policies import BalancingPolicy, balancing_policies
from damasktide.forwarding.hedging import Hedging
from damasktide.forwarding.retry_budget import RetryBudget
from damasktide.limits.shares import share_by_server
from damasktide.membership.instances import Instance
from damasktide_standins.class_policy import LeastWaitByClass
from damasktide_standins.policy_scenarios import (
    SLOTS_PER_TARGET,
    STRAGGLER_DURATION_S,
    STRAGGLER_FACTOR,
    Candidate,
    Scenario,
)

REFRESH_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 1.0
WARM_UP_S = 2.0
WINDOW_S = 10.0
# Shape parameter of the gamma distribution of the work of a request.
WORK_SHAPE = 4.0
LINK_BYTES_PER_S = 1e12


@dataclass(slots=True)
class Call:
    """A call that carries a request to a target.

    Attributes
    ----------
    server
        Index of the target in the scenario.
    """

    server: int
    request_class: int
    started_at: float
    has_ended: bool = False


@dataclass(slots=True)
class Request:
    """A request and its calls: one, or two if it is hedged.

    Attributes
    ----------
    work
        Service time as a multiple of the mean of its class.
    """

    arrived_at: float
    request_class: int
    work: float
    calls: list[Call] = field(default_factory=list)
    is_done: bool = False


@dataclass(slots=True)
class Router:
    """Balancing state of one instance and its queued requests by class."""

    balancer: Balancer
    policy: BalancingPolicy
    hedging: Hedging
    budget: RetryBudget
    queues: tuple[deque[Request], ...]


@dataclass(frozen=True, slots=True)
class RunResult:
    """Raw results of a run after its warm-up.

    Attributes
    ----------
    latencies_s
        Seconds from the arrival of a request to its response.
    load_by_window
        For each window of ``WINDOW_S`` seconds, the occupied slot seconds of each target.
    calls
        Calls per request.
    """

    latencies_s: list[float]
    load_by_window: list[list[float]]
    calls: float


class PolicyModel:
    """One run of a candidate in a scenario.

    Parameters
    ----------
    scenario, candidate
        Scenario to simulate and policy to use.
    seed
        Seed of all random streams.
    seconds
        Simulated time in seconds.
    """

    def __init__(
        self, scenario: Scenario, candidate: Candidate, seed: int, seconds: float
    ) -> None:
        self._scenario = scenario
        self._candidate = candidate
        self._seconds = seconds
        # Arrivals and stragglers use a random stream of their own, so all candidates get the
        # same ones.
        self._rng = Random(seed)
        # Calls in flight may end after the run, so there are more periods than the run has.
        self._stragglers_by_period = [
            frozenset(self._rng.sample(range(len(scenario.targets)), scenario.stragglers))
            for _ in range(int(seconds / STRAGGLER_DURATION_S) + 100)
        ]
        self._routers = [
            self._make_router(instance, Random(seed * 1000 + index))
            for index, instance in enumerate(scenario.members)
        ]
        self._index_by_server_id = {
            target.server_id: index for index, target in enumerate(scenario.targets)
        }
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._now = 0.0
        self._in_flight = [0] * len(scenario.targets)
        self._latencies_s: list[float] = []
        self._load_by_window: dict[int, list[float]] = {}
        self._counts: Counter[str] = Counter()

    def run(self) -> RunResult:
        """Run the simulation to its end and return the result."""
        self._schedule_arrival()
        self._refresh_routers()
        if self._candidate.has_reports:
            self._send_reports()
        while self._events and self._now < self._seconds:
            self._now, _, action = heappop(self._events)
            action()
        windows = range(int((self._seconds - WARM_UP_S) / WINDOW_S))
        load = [
            self._load_by_window[window] for window in windows if window in self._load_by_window
        ]
        calls = self._counts["calls"] / max(1, self._counts["requests"])
        return RunResult(self._latencies_s, load, calls)

    def _make_router(self, instance: Instance, rng: Random) -> Router:
        scenario, candidate = self._scenario, self._candidate
        policy = balancing_policies.get(candidate.policy)(rng)
        balancer = Balancer(
            Locality(instance.domain, instance.region),
            policy,
            LinkBudget(LINK_BYTES_PER_S, 0.0),
            OutlierDetector(MAX_EJECTED_FRACTION if candidate.has_ejection else 0.0),
        )
        balancer.set_targets(0.0, scenario.targets)
        shares = share_by_server(instance, scenario.members, scenario.targets)
        balancer.set_shares(0.0, SharesChanged(shares, LINK_BYTES_PER_S))
        queues = (deque[Request](), deque[Request]())
        return Router(balancer, policy, Hedging(), RetryBudget(), queues)

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heappush(self._events, (time, self._sequence, action))

    def _schedule_arrival(self) -> None:
        self._schedule(
            self._now + self._rng.expovariate(self._scenario.arrivals_per_s), self._on_arrival
        )

    def _on_arrival(self) -> None:
        rng = self._rng
        router = self._routers[int(rng.random() * len(self._routers))]
        request_class = int(rng.random() >= self._scenario.class_fractions[0])
        request = Request(self._now, request_class, rng.gammavariate(WORK_SHAPE, 1.0 / WORK_SHAPE))
        router.budget.count_request(self._now)
        self._counts["requests"] += 1
        # Without matching, the requests of all classes wait in one queue.
        router.queues[request_class if self._candidate.matching_mode else 0].append(request)
        self._schedule_arrival()
        self._start_queued(router)

    def _start_queued(self, router: Router) -> None:
        for queue in router.queues:
            while queue and self._start_call(router, queue[0], ()):
                queue.popleft()

    def _start_call(self, router: Router, request: Request, exclude: tuple[str, ...]) -> bool:
        if isinstance(router.policy, LeastWaitByClass):
            router.policy.request_class = request.request_class
        picked = router.balancer.pick(self._now, self._make_pick(request, exclude))
        if not isinstance(picked, Picked) and self._candidate.matching_mode == "spill":
            picked = router.balancer.pick(self._now, Pick(exclude=exclude))
        if not isinstance(picked, Picked):
            return False
        server = self._index_by_server_id[picked.target.server_id]
        call = Call(server, request.request_class, self._now)
        request.calls.append(call)
        self._in_flight[server] += 1
        self._counts["calls"] += 1
        end = self._end_time(
            server, request.work * self._scenario.service_time_s(request.request_class, server)
        )
        self._schedule(end, partial(self._on_call_end, router, request, call))
        if self._candidate.has_hedging and len(request.calls) == 1:
            delay_s = router.hedging.plan().delay_for(may_hedge=True, remaining_s=float("inf"))
            if delay_s is not None:
                self._schedule(self._now + delay_s, partial(self._start_hedge, router, request))
        return True

    def _make_pick(self, request: Request, exclude: tuple[str, ...]) -> Pick:
        if not self._candidate.matching_mode:
            return Pick(exclude=exclude)
        return Pick(exclude=exclude + self._scenario.unmatched_by_class[request.request_class])

    def _start_hedge(self, router: Router, request: Request) -> None:
        if request.is_done or len(request.calls) > 1 or not router.budget.spend(self._now):
            return
        server = request.calls[0].server
        self._start_call(router, request, (self._scenario.targets[server].server_id,))

    def _on_call_end(self, router: Router, request: Request, call: Call) -> None:
        if call.has_ended:
            return
        request.is_done = True
        self._finish_call(router, call, CallOutcome.OK)
        for other in request.calls:
            if not other.has_ended:
                self._finish_call(router, other, CallOutcome.CANCELLED)
        router.hedging.observe(self._now - request.calls[0].started_at)
        if request.arrived_at >= WARM_UP_S:
            self._latencies_s.append(self._now - request.arrived_at)
        self._start_queued(router)

    def _finish_call(self, router: Router, call: Call, outcome: CallOutcome) -> None:
        call.has_ended = True
        seconds = self._now - call.started_at
        server_id = self._scenario.targets[call.server].server_id
        self._in_flight[call.server] -= 1
        router.balancer.finish(self._now, Done(server_id, seconds, outcome))
        if isinstance(router.policy, LeastWaitByClass):
            router.policy.observe(call.request_class, server_id, seconds)
        window = floor((call.started_at - WARM_UP_S) / WINDOW_S)
        load = self._load_by_window.setdefault(window, [0.0] * len(self._in_flight))
        load[call.server] += seconds

    def _end_time(self, server: int, work_s: float) -> float:
        """Return when ``work_s`` seconds of work end, given the target's speed in each period."""
        now, period = self._now, int(self._now / STRAGGLER_DURATION_S)
        while True:
            speed = 1.0 / STRAGGLER_FACTOR if server in self._stragglers_by_period[period] else 1.0
            period += 1
            completed_s = (period * STRAGGLER_DURATION_S - now) * speed
            if work_s <= completed_s:
                return now + work_s / speed
            work_s -= completed_s
            now = period * STRAGGLER_DURATION_S

    def _refresh_routers(self) -> None:
        for router in self._routers:
            router.balancer.refresh(self._now)
            if self._candidate.has_hedging:
                fraction = router.balancer.status(self._now).slow_fraction
                router.hedging.set_slow_fraction(fraction)
            self._start_queued(router)
        self._schedule(self._now + REFRESH_INTERVAL_S, self._refresh_routers)

    def _send_reports(self) -> None:
        in_flight = [min(SLOTS_PER_TARGET, count) for count in self._in_flight]
        self._schedule(self._now + REPORT_LAG_S, partial(self._deliver_reports, in_flight))
        self._schedule(self._now + REPORT_INTERVAL_S, self._send_reports)

    def _deliver_reports(self, in_flight: list[int]) -> None:
        for router in self._routers:
            for target, count in zip(self._scenario.targets, in_flight, strict=True):
                # Routers don't know the lag, so they treat the report as current.
                report = LoadReported(target.server_id, count, "boot-1")
                router.balancer.record_load_report(self._now, report)
