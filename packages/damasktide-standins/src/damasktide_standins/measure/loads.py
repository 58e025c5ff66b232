"""Starts load processes and collects their results."""

import json
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from damasktide_standins.cluster.layout import TOKEN
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.cluster.processes import ChildProcess

LOAD_MODULE = "damasktide_standins.measure.load_process"
_END_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Requests that the load processes send.

    Attributes
    ----------
    urls
        URLs that are requested in turn.
    processes
        Number of load processes.
    seed
        Seed of the first process; each further process uses the next number.
    rate_per_s
        Requests per second of all processes together; 0 for a closed loop.
    callers
        Concurrent callers of each process in a closed loop.
    warm_up_s, seconds
        Durations of the warm-up and of the measurement.
    """

    urls: Sequence[str]
    processes: int
    seed: int
    rate_per_s: float = 0.0
    callers: int = 4
    warm_up_s: float = 2.0
    seconds: float = 6.0


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Combined results of the load processes.

    Attributes
    ----------
    latencies_ms
        Latencies of all measured requests, sorted.
    count_by_status
        Number of requests by HTTP status of the response; status 0 if there was none.
    served_per_s
        Responses with status 200 per second.
    """

    latencies_ms: tuple[float, ...]
    count_by_status: Counter[str]
    served_per_s: float

    def quantile_ms(self, share: float) -> float:
        """Return the latency at a quantile; ``share`` is between 0 and 1."""
        return self.latencies_ms[
            min(len(self.latencies_ms) - 1, int(share * len(self.latencies_ms)))
        ]

    @property
    def success_share(self) -> float:
        """Share of responses with status 200."""
        return self.count_by_status["200"] / max(1, self.count_by_status.total())


class RunningLoad:
    """Load processes that are running."""

    def __init__(self, cluster: LocalCluster, plan: LoadPlan) -> None:
        self._plan = plan
        self._cluster = cluster
        self._paths = [cluster.path / f"load-{plan.seed + i}.json" for i in range(plan.processes)]
        self._processes = [self._start(index) for index in range(plan.processes)]

    def wait(self) -> LoadResult:
        """Wait until all processes have ended and return their combined results."""
        timeout_at = time.monotonic() + self._plan.warm_up_s + self._plan.seconds + _END_TIMEOUT_S
        while any(process.is_running() for process in self._processes):
            if time.monotonic() > timeout_at:
                raise TimeoutError("a load process did not end in time")
            time.sleep(0.05)
        documents = [json.loads(path.read_text()) for path in self._paths]
        count_by_status: Counter[str] = Counter()
        for document in documents:
            count_by_status.update(document["statuses"])
        latencies = sorted(value for document in documents for value in document["latencies_ms"])
        return LoadResult(
            tuple(latencies), count_by_status, count_by_status["200"] / self._plan.seconds
        )

    def _start(self, index: int) -> ChildProcess:
        plan = self._plan
        arguments = [argument for url in plan.urls for argument in ("--url", url)]
        arguments += ["--token", TOKEN, "--seed", str(plan.seed + index)]
        arguments += ["--warm-up-s", str(plan.warm_up_s), "--seconds", str(plan.seconds)]
        arguments += [
            "--callers",
            str(plan.callers),
            "--rate",
            str(plan.rate_per_s / plan.processes),
        ]
        arguments += ["--output", str(self._paths[index])]
        return ChildProcess(
            f"load-{plan.seed + index}", LOAD_MODULE, arguments, self._cluster.path
        )


def run_load(cluster: LocalCluster, plan: LoadPlan) -> LoadResult:
    """Run load processes until they end and return their results."""
    return RunningLoad(cluster, plan).wait()
