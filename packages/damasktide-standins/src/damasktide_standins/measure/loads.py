"""Starts load processes and collects what they received."""

import json
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from damasktide_standins.cluster.layout import TOKEN
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.cluster.processes import ChildProcess

MODULE = "damasktide_standins.measure.load_process"
_END_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What the load processes send.

    Attributes
    ----------
    urls
        Requested in turn.
    processes
        Number of load processes.
    seed
        Seed of the first; the others follow.
    rate
        Requests a second of all processes together; 0 for a closed loop.
    callers
        Callers of each process in a closed loop.
    warm_up_s, seconds
        Times before and during the measurement.
    """

    urls: Sequence[str]
    processes: int
    seed: int
    rate: float = 0.0
    callers: int = 4
    warm_up_s: float = 2.0
    seconds: float = 6.0


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What the load processes received.

    Attributes
    ----------
    latencies_ms
        Sorted latencies of all requests.
    count_by_status
        Responses by HTTP status; 0 for none.
    requests_per_s
        Responses with status 200 a second.
    """

    latencies_ms: tuple[float, ...]
    count_by_status: Counter[str]
    requests_per_s: float

    def quantile_ms(self, share: float) -> float:
        """Return a quantile of the latency."""
        return self.latencies_ms[
            min(len(self.latencies_ms) - 1, int(share * len(self.latencies_ms)))
        ]

    @property
    def success(self) -> float:
        """Share of responses with status 200."""
        return self.count_by_status["200"] / max(1, self.count_by_status.total())


class RunningLoad:
    """Load processes that have been started."""

    def __init__(self, cluster: LocalCluster, plan: LoadPlan) -> None:
        self._plan = plan
        self._cluster = cluster
        self._paths = [cluster.path / f"load-{plan.seed + i}.json" for i in range(plan.processes)]
        self._processes = [self._start(index) for index in range(plan.processes)]

    def wait(self) -> LoadResult:
        """Wait for the end of all processes and return what they received."""
        limit = time.monotonic() + self._plan.warm_up_s + self._plan.seconds + _END_TIMEOUT_S
        while any(process.is_running() for process in self._processes):
            if time.monotonic() > limit:
                raise TimeoutError("a load process did not end")
            time.sleep(0.05)
        documents = [json.loads(path.read_text()) for path in self._paths]
        statuses: Counter[str] = Counter()
        for document in documents:
            statuses.update(document["statuses"])
        latencies = sorted(value for document in documents for value in document["latencies_ms"])
        return LoadResult(tuple(latencies), statuses, statuses["200"] / self._plan.seconds)

    def _start(self, index: int) -> ChildProcess:
        plan = self._plan
        arguments = [argument for url in plan.urls for argument in ("--url", url)]
        arguments += ["--token", TOKEN, "--seed", str(plan.seed + index)]
        arguments += ["--warm-up-s", str(plan.warm_up_s), "--seconds", str(plan.seconds)]
        arguments += ["--callers", str(plan.callers), "--rate", str(plan.rate / plan.processes)]
        arguments += ["--output", str(self._paths[index])]
        return ChildProcess(f"load-{plan.seed + index}", MODULE, arguments, self._cluster.path)


def run_load(cluster: LocalCluster, plan: LoadPlan) -> LoadResult:
    """Run the load processes to their end."""
    return RunningLoad(cluster, plan).wait()
