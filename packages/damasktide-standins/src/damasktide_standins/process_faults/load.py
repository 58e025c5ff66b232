"""Callers that send bookings and reads and record the responses."""

import time
import uuid
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import gevent

from damasktide_standins.cluster.client import NO_RESPONSE, NOT_CONNECTED, CallerResponse, Client
from damasktide_standins.cluster.layout import TOKEN
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.ownership_world.history import Attempt, AttemptResult, Outcome

REQUEST_TIMEOUT_MS = 3000
MAX_TRIES = 5
PAUSE_S = 0.02


@dataclass(frozen=True, slots=True)
class ServedResponse:
    """A successful response that a caller received.

    Attributes
    ----------
    at
        Time at which it arrived, from ``time.time``.
    key
        Key of the booking, or None for a read.
    server_id
        Backend server that responded.
    """

    at: float
    key: str | None
    server_id: str


@dataclass
class CallRecord:
    """Responses and refusals that all callers received."""

    received: list[AttemptResult] = field(default_factory=list)
    served: list[ServedResponse] = field(default_factory=list)
    refusals: Counter[str] = field(default_factory=Counter)
    unanswered: int = 0


class Callers:
    """Greenlets that send requests to all instances until they are stopped.

    Parameters
    ----------
    cluster
        Deployment to call.
    keys
        Keys of the bookings; each has one caller.
    seed
        Seed of all random choices.
    service_index
        Index of the service to call.
    pause_s
        Mean pause of a caller between two bookings, in seconds.
    """

    def __init__(
        self,
        cluster: LocalCluster,
        keys: Sequence[str],
        seed: int,
        service_index: int = 0,
        pause_s: float = PAUSE_S,
    ) -> None:
        self.record = CallRecord()
        self.keys = tuple(keys)
        self._cluster = cluster
        self._service = cluster.layout.services[service_index]
        self._pause_s = pause_s
        self._client = Client(cluster.http, TOKEN)
        self._random = Random(seed)
        self._is_stopping = False
        self._greenlets: list[gevent.Greenlet] = []
        self.urls = [node.url for node in cluster.instance_by_name.values()]

    def start(self) -> None:
        """Start one caller for each key and one that sends reads."""
        self._greenlets = [gevent.spawn(self._book_repeatedly, key) for key in self.keys]
        self._greenlets.append(gevent.spawn(self._read_repeatedly))

    def stop(self) -> CallRecord:
        """Wait until the requests in flight have ended and return the record."""
        self._is_stopping = True
        gevent.joinall(self._greenlets)
        return self.record

    def _book_repeatedly(self, key: str) -> None:
        while not self._is_stopping:
            self.book(key)
            gevent.sleep(self._pause_s * self._random.uniform(0.5, 1.5))

    def book(self, key: str) -> None:
        """Send one booking as a correct caller does.

        A repeat keeps the attempt number after "not run" and increments it after an unknown
        outcome. Half of the bookings refused as not run on attempt 1 are not repeated, so that an
        execution despite the refusal can be detected.
        """
        request_id = uuid.UUID(int=self._random.getrandbits(128)).hex
        attempt = 1
        for _ in range(MAX_TRIES):
            response = self._post(key, request_id, attempt)
            outcome = self._outcome(response)
            if outcome is Outcome.DONE:
                self._record_done(key, request_id, response)
                return
            if outcome is Outcome.UNKNOWN:
                attempt += 1
            elif attempt == 1 and self._random.random() < 0.5:
                self.record.received.append(AttemptResult(Attempt(request_id, 1), Outcome.NOT_RUN))
                return
            gevent.sleep(PAUSE_S)

    def _post(self, key: str, request_id: str, attempt: int) -> CallerResponse:
        url = self._random.choice(self.urls)
        path = f"{url}/{self._service.name}/{self._service.keyed_operation}/{key}"
        return self._client.call("POST", path, request_id, attempt, REQUEST_TIMEOUT_MS)

    def _outcome(self, response: CallerResponse) -> Outcome:
        if response.status == NO_RESPONSE:
            self.record.unanswered += 1
            return Outcome.UNKNOWN
        if response.status == NOT_CONNECTED:
            return Outcome.NOT_RUN
        if response.status == 200:
            return Outcome.DONE
        problem = response.json()
        self.record.refusals[str(problem.get("code"))] += 1
        return Outcome.NOT_RUN if problem.get("not_run") else Outcome.UNKNOWN

    def _record_done(self, key: str, request_id: str, response: CallerResponse) -> None:
        body = response.json()
        is_own = body.get("key") == key and body.get("request_id") == request_id
        answered = Attempt(request_id, 1) if is_own else Attempt(str(body.get("request_id")), 1)
        self.record.received.append(AttemptResult(Attempt(request_id, 1), Outcome.DONE, answered))
        self.record.served.append(ServedResponse(time.time(), key, response.served_by))

    def _read_repeatedly(self) -> None:
        while not self._is_stopping:
            url = self._random.choice(self.urls)
            path = f"{url}/{self._service.name}/{self._service.unkeyed_operation}"
            response = self._client.call("GET", path, timeout_ms=REQUEST_TIMEOUT_MS)
            if self._outcome(response) is Outcome.DONE:
                self.record.served.append(ServedResponse(time.time(), None, response.served_by))
            gevent.sleep(PAUSE_S)
