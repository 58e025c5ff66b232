import unittest
from collections import Counter
from contextlib import nullcontext
from typing import Any
from unittest import mock

import gevent

from damasktide.lifecycle import state
from damasktide.lifecycle.state import Lifecycle, LifecycleSnapshot, Phase
from damasktide.lifecycle.task import (
    BeginDrain,
    LifecycleTask,
    MarkReady,
    RequestFinished,
    RequestStarted,
)
from damasktide.runtime.clock import MonotonicClock
from damasktide.runtime.published import Published
from damasktide.runtime.task import TaskFailed

REQUEST_S = 0.9


class Instance:
    """Entry instance whose requests are interrupted when its lifecycle ends."""

    def __init__(self) -> None:
        self.snapshot = Published(LifecycleSnapshot())
        self.phases: list[Phase] = []
        self.results: Counter[str] = Counter()
        lifecycle = Lifecycle(serve_after_drain_s=0.3, longest_deadline_s=5.0)
        listeners = [lambda snapshot: self.phases.append(snapshot.phase)]
        self.task = LifecycleTask(lifecycle, MonotonicClock(), self.snapshot, listeners)
        self.task.start()
        self.task.tell(MarkReady())
        gevent.sleep(0)
        self.requests: list[gevent.Greenlet] = []

    def send(self) -> None:
        self.requests.append(gevent.spawn(self._serve))

    def _serve(self) -> None:
        self.results["started"] += 1
        if not self.snapshot.value.accepts_requests:
            self.results["draining"] += 1
            return
        self.task.tell(RequestStarted())
        gevent.sleep(REQUEST_S)
        self.task.tell(RequestFinished())
        self.results["answered"] += 1

    def drain(self) -> int | None:
        """Send a request every 20 ms until the process ends, and return the exit code."""
        self.task.tell(BeginDrain("test"))
        while (exit_code := self.task.wait(0.02)) is None:
            self.send()
        gevent.killall(self.requests)
        results = self.results
        # A request that has not started when the process ends finds no process, so it does not
        # count as interrupted.
        results["interrupted"] = results["started"] - results["answered"] - results["draining"]
        self.task.stop()
        return exit_code


class DrainTest(unittest.TestCase):
    def drain(self, mutation: Any = None) -> Counter[str]:
        with mutation or nullcontext():
            instance = Instance()
            instance.drain()
        return instance.results

    def test_drain_interrupts_no_request(self) -> None:
        """Guards against a planned stop that interrupts requests."""
        results = self.drain()
        self.assertEqual(results["interrupted"], 0)
        self.assertGreater(results["answered"], 10)
        self.assertGreater(results["draining"], 10)
        ignores_in_flight = mock.patch.object(Lifecycle, "start_request", lambda lifecycle: None)
        self.assertGreater(self.drain(ignores_in_flight)["interrupted"], 0)

    def test_requests_are_served_until_the_load_balancer_notices_the_drain(self) -> None:
        """Guards against refusals of requests that the load balancer has already sent."""
        instance = Instance()
        instance.task.tell(BeginDrain("test"))
        gevent.sleep(0.1)
        instance.send()
        gevent.sleep(0)
        self.assertEqual(instance.results["draining"], 0)
        instance.drain()
        with mock.patch.object(state, "_SERVING", frozenset({Phase.READY})):
            instance = Instance()
            instance.task.tell(BeginDrain("test"))
            gevent.sleep(0.1)
            instance.send()
            gevent.sleep(0)
            self.assertEqual(instance.results["draining"], 1)
            instance.drain()

    def test_failed_task_drains_with_exit_code_1(self) -> None:
        """Guards against an instance that runs on without a failed task or interrupts requests."""
        instance = Instance()
        instance.send()
        gevent.sleep(0)
        instance.task.tell(TaskFailed("gatekeeper", "broken"))
        self.assertEqual(instance.drain(), 1)
        self.assertEqual(instance.results["interrupted"], 0)
        order = [Phase.READY, Phase.LEAVING, Phase.REFUSING, Phase.STOPPED]
        self.assertEqual(instance.phases, order)


if __name__ == "__main__":
    unittest.main()
