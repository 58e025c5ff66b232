import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import gevent
import urllib3
from urllib3.exceptions import HTTPError

from damasktide_standins.backend_server.requests import ServerSettings
from damasktide_standins.backend_server.server import BackendServer


class ServerTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.log = Path(directory.name) / "log"
        self.http = urllib3.PoolManager(maxsize=20, retries=False, timeout=3)
        self.addCleanup(self.http.clear)

    def serve(self, **settings: Any) -> str:
        server = BackendServer(ServerSettings("s1", "desk", **settings), log_file=self.log)
        server.start()
        self.addCleanup(server.stop)
        return f"http://127.0.0.1:{server.port}"

    def send_grant(self, base: str, shards: list[int], ttl_ms: int = 2000) -> None:
        state = self.http.request("GET", f"{base}/damasktide/grants/desk").json()
        grant = {"service": "desk", "version": 1, "shards": shards, "ttl_ms": ttl_ms}
        grant |= {"term": state["term"], "basis_ms": state["now_ms"]}
        response = self.http.request("POST", f"{base}/damasktide/grants", json=grant)
        self.assertEqual(response.status, 200, response.data)

    def book(self, base: str, request_id: str = "r1", **headers: str) -> Any:
        headers = {"Idempotency-Key": request_id, "Damasktide-Shard": "4"} | headers
        return self.http.request("POST", f"{base}/desk/book/k1", headers=headers, body=b"x")

    def await_in_flight(self, base: str, count: int) -> None:
        """Wait until the server holds this many requests, running or queued."""
        with gevent.Timeout(10):
            while self.http.request("GET", f"{base}/damasktide/load").json()["in_flight"] != count:
                gevent.sleep(0.005)

    def logged_executions(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.log.read_text().splitlines()]

    def test_keyed_request_runs_only_under_a_current_grant(self) -> None:
        """Guards against a server that runs a request for a key that it doesn't own."""
        base = self.serve()
        refused = self.book(base)
        self.assertEqual((refused.status, refused.headers["Damasktide-Not-Run"]), (409, "1"))
        self.send_grant(base, [4])
        response = self.book(base, "r2").json()
        self.assertEqual((response["request_id"], response["key"]), ("r2", "k1"))
        self.assertEqual([run["request_id"] for run in self.logged_executions()], ["r2"])

    def test_unchecked_server_runs_any_request(self) -> None:
        """Guards against tests of unchecked services that pass because of a grant check."""
        self.assertEqual(self.book(self.serve(checks_grants=False)).status, 200)

    def test_run_that_outlives_its_grant_is_rolled_back(self) -> None:
        """Guards against an effect when another server may already own the key."""
        base = self.serve(service_time_ms=300)
        self.send_grant(base, [4], ttl_ms=100)
        self.assertEqual(self.book(base).status, 500)
        (run,) = self.logged_executions()
        self.assertEqual(run["ending"], "cut")
        self.assertLess(run["end"] - run["start"], 0.2)

    def test_load_beyond_slots_and_queue_is_shed(self) -> None:
        """Guards against a stand-in that is never overloaded."""
        base = self.serve(checks_grants=False, slots=2, service_time_ms=50)
        jobs = [gevent.spawn(self.book, base, f"r{number}") for number in range(6)]
        gevent.joinall(jobs)
        statuses = sorted(job.value.status for job in jobs)
        self.assertEqual(statuses, [200, 200, 200, 200, 503, 503])
        self.assertEqual(len(self.logged_executions()), 4)

    def test_request_whose_deadline_passes_in_the_queue_is_not_run(self) -> None:
        """Guards against running a request whose caller has given up."""
        # The first run holds the only slot until it is cancelled, however slow the machine is.
        base = self.serve(checks_grants=False, slots=1, service_time_ms=60_000)
        gevent.spawn(self.book, base, "r1")
        self.await_in_flight(base, 1)
        late = gevent.spawn(self.book, base, "r2", **{"Damasktide-Deadline-Ms": "10"})
        self.await_in_flight(base, 2)
        gevent.sleep(0.02)
        self.http.request("DELETE", f"{base}/damasktide/requests/r1")
        response = late.get(timeout=10)
        self.assertEqual((response.status, response.headers.get("Damasktide-Not-Run")), (504, "1"))
        self.assertEqual([run["request_id"] for run in self.logged_executions()], ["r1"])

    def test_cancelled_request_has_no_effect(self) -> None:
        """Guards against hedged calls that keep their slot after another call has won."""
        base = self.serve(checks_grants=False, service_time_ms=500)
        job = gevent.spawn(self.book, base, "r1")
        gevent.sleep(0.05)
        response = self.http.request("DELETE", f"{base}/damasktide/requests/r1").json()
        self.assertEqual(response, {"cancelled": "running"})
        self.assertEqual(job.get(timeout=0.2).status, 500)
        self.assertEqual(self.logged_executions()[0]["ending"], "cancelled")

    def test_reset_truncated_and_mismatched_responses_reach_the_client(self) -> None:
        """Guards against fault tests that pass because the fault has no effect."""
        base = self.serve(checks_grants=False)
        cases = {"reset": {"count": 1, "ran": False}, "truncate": {"count": 1}}
        for fault, parameters in cases.items():
            self.http.request("POST", f"{base}/faults/{fault}", json=parameters)
            with self.assertRaises(HTTPError, msg=fault):
                self.book(base, fault)
        self.http.request("POST", f"{base}/faults/reset", json={"count": 1, "ran": True})
        with self.assertRaises(HTTPError):
            self.book(base, "ran")
        self.http.request("POST", f"{base}/faults/cross", json={"count": 1})
        self.assertNotEqual(self.book(base, "cross").json()["request_id"], "cross")
        self.assertEqual(self.book(base, "after").json()["request_id"], "after")
        ids = [run["request_id"] for run in self.logged_executions()]
        self.assertEqual(ids, ["truncate", "ran", "cross", "after"])

    def test_cold_start_drops_the_grant_and_restarts_under_load(self) -> None:
        """Guards against a cold start that the router can neither detect nor overload."""
        base = self.serve(service_time_ms=20)
        self.send_grant(base, [4])
        before = self.http.request("GET", f"{base}/damasktide/load").json()["boot_id"]
        self.http.request("POST", f"{base}/faults/cold_start", json={"for_s": 5})
        self.assertEqual(self.book(base).status, 409)
        cold = self.http.request("GET", f"{base}/damasktide/load").json()["boot_id"]
        self.send_grant(base, [4])
        gevent.joinall([gevent.spawn(self.book, base, f"r{number}") for number in range(13)])
        after = self.http.request("GET", f"{base}/damasktide/load").json()["boot_id"]
        self.assertEqual(len({before, cold, after}), 3)

    def test_connections_beyond_the_limit_are_reset(self) -> None:
        """Guards against a connection limit that has no effect in tests."""
        base = self.serve(checks_grants=False, connections=1)
        self.assertEqual(self.book(base).status, 200)
        with self.assertRaises(HTTPError):
            urllib3.PoolManager(retries=False).request("GET", f"{base}/damasktide/load")

    def test_load_report_lags(self) -> None:
        """Guards against tests of stale load reports that receive current ones."""
        base = self.serve(checks_grants=False, service_time_ms=400)
        self.http.request("POST", f"{base}/faults/lag", json={"seconds": 0.15})
        self.book(base)
        gevent.sleep(0.2)
        gevent.spawn(self.book, base, "r2")
        gevent.sleep(0.05)
        self.assertEqual(self.reported_in_flight(base), 0)
        gevent.sleep(0.15)
        self.assertEqual(self.reported_in_flight(base), 1)

    def reported_in_flight(self, base: str) -> int:
        return int(self.http.request("GET", f"{base}/damasktide/load").json()["in_flight"])


if __name__ == "__main__":
    unittest.main()
