"""Requests that must be refused with a code and a detail that names the invalid input."""

import uuid
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

import gevent
from gevent.pool import Pool

from damasktide.catalog.canonical import encode_catalog
from damasktide.catalog.changes import Change
from damasktide.catalog.reading import read_lists
from damasktide_standins.cluster.client import CallerResponse, Client
from damasktide_standins.cluster.layout import CUSTOMERS, TOKEN, plans
from damasktide_standins.cluster.lists import apply_configuration_change
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.registry import CheckResult, scenario

BURST_REQUESTS = 200
LOW_LIMIT_PER_S = 20
PROPAGATION_S = 3.0


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A request that must be refused.

    Attributes
    ----------
    status, code, detail_prefix
        Expected status and code, and the start of the detail, which names the invalid input.
    headers
        Headers that differ from a valid request.
    body
        Request body.
    token
        Bearer token.
    """

    status: int
    code: str
    detail_prefix: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    token: str = TOKEN


BAD_REQUESTS = (
    BadRequest(431, "header_too_large", "headers", {f"X-Pad-{n}": "a" * 3000 for n in range(4)}),
    BadRequest(413, "body_too_large", "body", body=b"a" * 70_000),
    BadRequest(413, "body_too_large", "body", body=b"a" * (2 << 20)),
    BadRequest(400, "bad_request", "Damasktide-Timeout-Ms", {"Damasktide-Timeout-Ms": "soon"}),
    BadRequest(401, "unknown_customer", "Authorization", token="nobody"),
)


@scenario("bad requests refused", 7)
def bad_requests(cluster: LocalCluster, _callers: Callers) -> CheckResult:
    """Send each malformed or oversized request to each instance."""
    problems = [
        line
        for node in cluster.instance_by_name.values()
        for bad in BAD_REQUESTS
        for line in _check(cluster, node.url, bad)
    ]
    return CheckResult(tuple(problems))


@scenario("volume exceeded", 7)
def volume_exceeded(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Lower the rate limit of the plan; requests above it are refused and not run."""
    _apply_rate_limit(cluster, LOW_LIMIT_PER_S)
    gevent.sleep(PROPAGATION_S)
    url = callers.urls[0]
    client = Client(cluster.http, TOKEN)
    ids = [uuid.uuid4().hex for _ in range(BURST_REQUESTS)]
    responses = Pool(20).map(lambda request_id: _book(cluster, client, url, request_id), ids)
    _apply_rate_limit(cluster, 100_000)
    gevent.sleep(PROPAGATION_S)
    refused = {
        request_id
        for request_id, response in zip(ids, responses, strict=True)
        if (response.status, response.json().get("code")) == (429, "volume_exceeded")
    }
    ran = refused & {str(line["request_id"]) for line in cluster.executions()}
    problems = [f"{len(ran)} refused requests ran"] if ran else []
    problems += [] if refused else [f"none of {BURST_REQUESTS} requests was refused"]
    return CheckResult(tuple(problems), {"refused": len(refused)})


def _check(cluster: LocalCluster, url: str, bad: BadRequest) -> Iterator[str]:
    request_id = uuid.uuid4().hex
    client = Client(cluster.http, bad.token)
    response = _book(cluster, client, url, request_id, bad)
    problem = response.json()
    actual = (response.status, problem.get("code"), problem.get("not_run"))
    if actual != (bad.status, bad.code, True):
        yield f"{bad.code}: {actual}"
    if not str(problem.get("detail")).startswith(bad.detail_prefix):
        yield f"{bad.code}: the detail {problem.get('detail')!r} does not name {bad.detail_prefix}"
    if any(line["request_id"] == request_id for line in cluster.executions()):
        yield f"{bad.code}: the request ran"


def _book(
    cluster: LocalCluster,
    client: Client,
    url: str,
    request_id: str,
    bad: BadRequest | None = None,
) -> CallerResponse:
    service = cluster.layout.services[0]
    path = f"{url}/{service.name}/{service.keyed_operation}/refused-{request_id}"
    headers = dict(bad.headers) if bad else None
    return client.call("POST", path, request_id, 1, 3000, headers, bad.body if bad else None)


def _apply_rate_limit(cluster: LocalCluster, requests_per_second: int) -> None:
    text = plans(cluster.layout).replace("100000", str(requests_per_second))
    lists = encode_catalog(read_lists(CUSTOMERS, text).unwrap())
    change = Change("process-faults", uuid.uuid4().hex, "lists", lists=lists)
    apply_configuration_change(f"http://127.0.0.1:{cluster.platform_port}", change)
