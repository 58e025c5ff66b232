"""Callers that send bookings and reads and record what they receive."""

import time
import uuid
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import gevent

from damasktide_standins.cluster.client import NO_ANSWER, NOT_CONNECTED, CallerAnswer, Client
from damasktide_standins.cluster.layout import TOKEN
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.ownership_world.history import Attempt, AttemptResult, Outcome

REQUEST_TIMEOUT_MS = 3000
MAX_TRIES = 5
PAUSE_S = 0.02


@dataclass(frozen=True, slots=True)
class ServedAt:
    """A response that a caller received.

    Attributes
    ----------
    at
        Time of the response from ``time.time``.
    key
        Key of the booking, or None for a read.
    server_id
        Backend server that responded.
    """

    at: float
    key: str | None
    server_id: str


@dataclass
class Record:
    """What all callers received."""

    received: list[AttemptResult] = field(default_factory=list)
    served: list[ServedAt] = field(default_factory=list)
    refusals: Counter[str] = field(default_factory=Counter)
    no_answers: int = 0


class Callers:
    """Greenlets that send requests to all instances until they are stopped.

    Parameters
    ----------
    cluster
        Deployment that is called.
    keys
        Keys of the bookings; one caller for each.
    seed
        Seed of all choices.
    service_index
        Service that is called.
    pause_s
        Mean pause of a caller between two requests.
    """

    def __init__(
        self,
        cluster: LocalCluster,
        keys: Sequence[str],
        seed: int,
        service_index: int = 0,
        pause_s: float = PAUSE_S,
    ) -> None:
        self.record = Record()
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
        """Start one caller for each key and one that reads."""
        self._greenlets = [gevent.spawn(self._book_repeatedly, key) for key in self.keys]
        self._greenlets.append(gevent.spawn(self._read_repeatedly))

    def stop(self) -> Record:
        """Let the requests in flight end and return what was received."""
        self._is_stopping = True
        gevent.joinall(self._greenlets)
        return self.record

    def _book_repeatedly(self, key: str) -> None:
        while not self._is_stopping:
            self.book(key)
            gevent.sleep(self._pause_s * self._random.uniform(0.5, 1.5))

    def book(self, key: str) -> None:
        """Send one booking as a correct caller does.

        The attempt number stays after "not run" and rises after an unknown outcome. Half of
        the bookings refused as not run are given up, so that a false refusal shows.
        """
        request_id = uuid.UUID(int=self._random.getrandbits(128)).hex
        attempt = 1
        for _ in range(MAX_TRIES):
            answer = self._post(key, request_id, attempt)
            outcome = self._outcome(answer)
            if outcome is Outcome.DONE:
                self._record_done(key, request_id, answer)
                return
            if outcome is Outcome.UNKNOWN:
                attempt += 1
            elif attempt == 1 and self._random.random() < 0.5:
                self.record.received.append(AttemptResult(Attempt(request_id, 1), Outcome.NOT_RUN))
                return
            gevent.sleep(PAUSE_S)

    def _post(self, key: str, request_id: str, attempt: int) -> CallerAnswer:
        url = self._random.choice(self.urls)
        path = f"{url}/{self._service.name}/{self._service.keyed_operation}/{key}"
        return self._client.call("POST", path, request_id, attempt, REQUEST_TIMEOUT_MS)

    def _outcome(self, answer: CallerAnswer) -> Outcome:
        if answer.status == NO_ANSWER:
            self.record.no_answers += 1
            return Outcome.UNKNOWN
        if answer.status == NOT_CONNECTED:
            return Outcome.NOT_RUN
        if answer.status == 200:
            return Outcome.DONE
        problem = answer.json()
        self.record.refusals[str(problem.get("code"))] += 1
        return Outcome.NOT_RUN if problem.get("not_run") else Outcome.UNKNOWN

    def _record_done(self, key: str, request_id: str, answer: CallerAnswer) -> None:
        body = answer.json()
        is_own = body.get("key") == key and body.get("request_id") == request_id
        answers = Attempt(request_id, 1) if is_own else Attempt(str(body.get("request_id")), 1)
        self.record.received.append(AttemptResult(Attempt(request_id, 1), Outcome.DONE, answers))
        self.record.served.append(ServedAt(time.time(), key, answer.served_by))

    def _read_repeatedly(self) -> None:
        while not self._is_stopping:
            url = self._random.choice(self.urls)
            path = f"{url}/{self._service.name}/{self._service.unkeyed_operation}"
            answer = self._client.call("GET", path, timeout_ms=REQUEST_TIMEOUT_MS)
            if self._outcome(answer) is Outcome.DONE:
                self.record.served.append(ServedAt(time.time(), None, answer.served_by))
            gevent.sleep(PAUSE_S)
