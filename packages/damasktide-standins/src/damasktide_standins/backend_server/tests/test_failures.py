import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

import gevent
import urllib3

from damasktide_standins.backend_server.grants import Grant, GrantTracker


class StaleGrantTest(unittest.TestCase):
    """Runs each scenario as it is, then with the mechanism that prevents it disabled."""

    def assert_prevented(self, scenario: Callable[[], bool], mutation: Any) -> None:
        self.assertFalse(scenario())
        with mutation:
            self.assertTrue(scenario())

    def owns_after_delayed_grant(self) -> bool:
        grant_tracker = GrantTracker("boot")
        state = grant_tracker.state(10.0)
        grant_tracker.apply(Grant(1, frozenset({4}), state.term, state.now_ms, 500), 10.6)
        return grant_tracker.owns(4, 10.6)

    def owns_after_replay_of_an_expired_grant(self) -> bool:
        grant_tracker = GrantTracker("boot")
        first, second = grant_tracker.state(10.0), grant_tracker.state(10.3)
        grant_tracker.apply(Grant(1, frozenset({4}), first.term, first.now_ms, 500), 10.1)
        self.assertFalse(grant_tracker.owns(4, 10.5))
        grant_tracker.apply(Grant(1, frozenset({4}), second.term, second.now_ms, 500), 10.6)
        return grant_tracker.owns(4, 10.6)

    def test_delayed_grant_is_refused(self) -> None:
        """Guards against accepting a grant that expired in transit."""
        apply = GrantTracker.apply

        def count_from_arrival(
            grant_tracker: GrantTracker, grant: Grant, now: float
        ) -> str | None:
            return apply(grant_tracker, replace(grant, basis_ms=int(now * 1000)), now)

        mutation = mock.patch.object(GrantTracker, "apply", count_from_arrival)
        self.assert_prevented(self.owns_after_delayed_grant, mutation)

    def test_replayed_grant_does_not_revive_ownership(self) -> None:
        """Guards against an owner that returns after its grants were proved to have expired."""

        def drop_grant_without_new_term(grant_tracker: GrantTracker, ended_at: float) -> None:
            grant_tracker._current_grant = None

        mutation = mock.patch.object(GrantTracker, "_start_new_term", drop_grant_without_new_term)
        self.assert_prevented(self.owns_after_replay_of_an_expired_grant, mutation)


class PausedServerTest(unittest.TestCase):
    """Pauses a real process; an unchecked server shows what would happen without grant checks."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.http = urllib3.PoolManager(retries=False, timeout=5)
        self.addCleanup(self.http.clear)

    def serve(self, *options: str) -> subprocess.Popen[str]:
        self.log = self.directory / f"log{len(list(self.directory.iterdir()))}"
        command = [sys.executable, "-m", "damasktide_standins.backend_server"]
        command += ["--server-id", "s1", "--service", "desk", "--port", "0"]
        command += ["--execution-log", str(self.log), *options]
        environment = os.environ | {"PYTHONPATH": ":".join(sys.path)}
        process = subprocess.Popen(command, env=environment, stdout=subprocess.PIPE, text=True)
        self.addCleanup(self.stop, process)
        assert process.stdout is not None
        port = process.stdout.readline().split()[-1]
        self.base = f"http://127.0.0.1:{port}"
        return process

    def stop(self, process: subprocess.Popen[str]) -> None:
        process.send_signal(signal.SIGCONT)
        process.terminate()
        process.communicate()

    def read_grant_state(self) -> Any:
        return self.http.request("GET", f"{self.base}/damasktide/grants/desk").json()

    def send_grant(self, state: Any) -> int:
        grant = {"service": "desk", "version": 1, "shards": [4], "ttl_ms": 500}
        grant |= {"term": state["term"], "basis_ms": state["now_ms"]}
        return self.http.request("POST", f"{self.base}/damasktide/grants", json=grant).status

    def book(self, request_id: str) -> int:
        headers = {"Idempotency-Key": request_id, "Damasktide-Shard": "4"}
        return self.http.request("POST", f"{self.base}/desk/book/k1", headers=headers).status

    def book_around_a_pause(self, process: subprocess.Popen[str], delay_s: float) -> int:
        """Book around a pause of the process and return the response status.

        The booking is sent ``delay_s`` before the pause, or after its start if negative.
        """
        state = self.read_grant_state()
        self.assertEqual(self.send_grant(state), 200)
        if delay_s < 0:
            process.send_signal(signal.SIGSTOP)
        booking = gevent.spawn(self.book, "r1")
        gevent.sleep(abs(delay_s))
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(0.8)
        process.send_signal(signal.SIGCONT)
        status: int = booking.get()
        return status

    def logged_endings(self) -> list[str]:
        return [json.loads(line)["ending"] for line in self.log.read_text().splitlines()]

    def test_server_paused_past_its_grant_refuses_until_granted_again(self) -> None:
        """Guards against an owner that continues to serve after its grant expired in a pause."""
        process = self.serve()
        old_state = self.read_grant_state()
        self.assertEqual(self.book_around_a_pause(process, -0.1), 409)
        self.assertEqual(self.send_grant(old_state), 409)
        self.assertEqual(self.book("r2"), 409)
        self.assertEqual(self.logged_endings(), [])
        self.assertEqual(self.send_grant(self.read_grant_state()), 200)
        self.assertEqual(self.book("r3"), 200)
        self.assertEqual(self.book_around_a_pause(self.serve("--unchecked"), -0.1), 200)

    def test_run_interrupted_by_a_pause_has_no_effect(self) -> None:
        """Guards against a run that takes effect when another server may already own the key."""
        options = ("--service-time-ms", "300")
        self.assertEqual(self.book_around_a_pause(self.serve(*options), 0.1), 500)
        self.assertEqual(self.logged_endings(), ["cut"])
        unchecked = self.serve(*options, "--unchecked")
        self.assertEqual(self.book_around_a_pause(unchecked, 0.1), 200)
        self.assertEqual(self.logged_endings(), ["completed"])


if __name__ == "__main__":
    unittest.main()
