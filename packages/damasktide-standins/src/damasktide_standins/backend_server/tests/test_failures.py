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

from damasktide_standins.backend_server.grants import Grant, GrantLedger


class VoidGrantTest(unittest.TestCase):
    """Each check runs once as it is and once with its mechanism switched off."""

    def check(self, scenario: Callable[[], bool], mutation: Any) -> None:
        self.assertFalse(scenario())
        with mutation:
            self.assertTrue(scenario())

    def owns_after_delayed_grant(self) -> bool:
        ledger = GrantLedger("boot")
        state = ledger.state(10.0)
        ledger.apply(Grant(1, frozenset({4}), state.term, state.now_ms, 500), 10.6)
        return ledger.owns(4, 10.6)

    def owns_after_replay_of_a_lapsed_grant(self) -> bool:
        ledger = GrantLedger("boot")
        first, second = ledger.state(10.0), ledger.state(10.3)
        ledger.apply(Grant(1, frozenset({4}), first.term, first.now_ms, 500), 10.1)
        self.assertFalse(ledger.owns(4, 10.5))
        ledger.apply(Grant(1, frozenset({4}), second.term, second.now_ms, 500), 10.6)
        return ledger.owns(4, 10.6)

    def test_delayed_grant_is_void(self) -> None:
        """Guards against a grant whose right ended while the grant was on its way."""
        apply = GrantLedger.apply

        def count_from_arrival(ledger: GrantLedger, grant: Grant, now: float) -> str | None:
            return apply(ledger, replace(grant, basis_ms=int(now * 1000)), now)

        mutation = mock.patch.object(GrantLedger, "apply", count_from_arrival)
        self.check(self.owns_after_delayed_grant, mutation)

    def test_replayed_grant_does_not_revive_ownership(self) -> None:
        """Guards against an owner that returns after a silence proof counted it out."""

        def forget_without_new_term(ledger: GrantLedger, ended_at: float) -> None:
            ledger._held = None

        mutation = mock.patch.object(GrantLedger, "_raise_term", forget_without_new_term)
        self.check(self.owns_after_replay_of_a_lapsed_grant, mutation)


class PausedServerTest(unittest.TestCase):
    """Pauses a real process; an unchecked server shows what happens without grants."""

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
        self.addCleanup(self.end, process)
        assert process.stdout is not None
        port = process.stdout.readline().split()[-1]
        self.base = f"http://127.0.0.1:{port}"
        return process

    def end(self, process: subprocess.Popen[str]) -> None:
        process.send_signal(signal.SIGCONT)
        process.terminate()
        process.communicate()

    def state(self) -> Any:
        return self.http.request("GET", f"{self.base}/damasktide/grants/desk").json()

    def grant(self, state: Any) -> int:
        grant = {"service": "desk", "version": 1, "shards": [4], "ttl_ms": 500}
        grant |= {"term": state["term"], "basis_ms": state["now_ms"]}
        return self.http.request("POST", f"{self.base}/damasktide/grants", json=grant).status

    def book(self, request_id: str) -> int:
        headers = {"Idempotency-Key": request_id, "Damasktide-Shard": "4"}
        return self.http.request("POST", f"{self.base}/desk/book/k1", headers=headers).status

    def book_around_a_pause(self, process: subprocess.Popen[str], delay_s: float) -> int:
        """Book ``delay_s`` before the pause (after its begin if negative); return the status."""
        state = self.state()
        self.assertEqual(self.grant(state), 200)
        if delay_s < 0:
            process.send_signal(signal.SIGSTOP)
        booking = gevent.spawn(self.book, "r1")
        gevent.sleep(abs(delay_s))
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(0.8)
        process.send_signal(signal.SIGCONT)
        status: int = booking.get()
        return status

    def endings(self) -> list[str]:
        return [json.loads(line)["ending"] for line in self.log.read_text().splitlines()]

    def test_server_paused_past_its_grant_refuses_until_granted_again(self) -> None:
        """Guards against an owner that resumes as if nothing had happened."""
        process = self.serve()
        old_state = self.state()
        self.assertEqual(self.book_around_a_pause(process, -0.1), 409)
        self.assertEqual(self.grant(old_state), 409)
        self.assertEqual(self.book("r2"), 409)
        self.assertEqual(self.endings(), [])
        self.assertEqual(self.grant(self.state()), 200)
        self.assertEqual(self.book("r3"), 200)
        self.assertEqual(self.book_around_a_pause(self.serve("--unchecked"), -0.1), 200)

    def test_run_interrupted_by_a_pause_has_no_effect(self) -> None:
        """Guards against a run that ends after another server may own the key."""
        options = ("--service-time-ms", "300")
        self.assertEqual(self.book_around_a_pause(self.serve(*options), 0.1), 500)
        self.assertEqual(self.endings(), ["cut"])
        unchecked = self.serve(*options, "--unchecked")
        self.assertEqual(self.book_around_a_pause(unchecked, 0.1), 200)
        self.assertEqual(self.endings(), ["completed"])


if __name__ == "__main__":
    unittest.main()
