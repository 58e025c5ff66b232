"""A local deployment with platform, backend servers and entry instances as processes."""

import json
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

import yaml
from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError

from damasktide_standins.cluster.layout import Layout, ServiceLayout
from damasktide_standins.cluster.lists import apply_lists
from damasktide_standins.cluster.ports import free_ports
from damasktide_standins.cluster.processes import ChildProcess

_HOST = "127.0.0.1"
# On a busy machine, about 40 processes take longer than 20 s to start.
_READY_TIMEOUT_S = 90.0
_POLL_INTERVAL_S = 0.05
_PEER_KEY = "local-deployment-only"


@dataclass(frozen=True, slots=True)
class ServerNode:
    """A backend server of the deployment.

    Attributes
    ----------
    server_id, service, domain, region, port
        As in the live list.
    service_time_ms
        Time that it takes for a request.
    """

    server_id: str
    service: str
    domain: str
    region: str
    port: int
    service_time_ms: float


@dataclass(frozen=True, slots=True)
class InstanceNode:
    """An entry instance of the deployment.

    Attributes
    ----------
    name, domain
        As in its settings.
    http_port, gossip_port, peer_port
        Ports on which it listens.
    """

    name: str
    domain: str
    http_port: int
    gossip_port: int
    peer_port: int

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{_HOST}:{self.http_port}"


class LocalCluster:
    """A running deployment; a context manager that starts and stops its processes.

    Parameters
    ----------
    layout
        Size and services of the deployment.
    instance_module
        Module that runs an entry instance; accepts the arguments of ``damasktide``.
    """

    def __init__(self, layout: Layout, instance_module: str = "damasktide") -> None:
        self.layout = layout
        self._instance_module = instance_module
        self._directory = tempfile.TemporaryDirectory(prefix="damasktide-")
        self.path = Path(self._directory.name)
        self.http = PoolManager(maxsize=32, retries=Retry(False), timeout=Timeout(total=5.0))
        self.process_by_name: dict[str, ChildProcess] = {}
        self.platform_port = free_ports(1)[0]
        self.server_by_id = {node.server_id: node for node in self._plan_servers()}
        self.instance_by_name = {node.name: node for node in self._plan_instances()}

    def __enter__(self) -> "LocalCluster":
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def stop(self) -> None:
        """Terminate all processes, entry instances first."""
        for name in reversed(list(self.process_by_name)):
            self.process_by_name[name].terminate()
        self._directory.cleanup()

    def start_server(self, server_id: str) -> None:
        """Start a backend server."""
        node = self.server_by_id[server_id]
        arguments = [
            *("--server-id", node.server_id, "--service", node.service),
            *("--port", str(node.port), "--service-time-ms", str(node.service_time_ms)),
            *("--execution-log", str(self.execution_log(server_id))),
        ]
        self._spawn(server_id, "damasktide_standins.backend_server", arguments)

    def start_instance(self, name: str) -> None:
        """Start an entry instance."""
        settings = self.path / f"{name}.yaml"
        settings.write_text(yaml.safe_dump(self._settings(self.instance_by_name[name])))
        self._spawn(name, self._instance_module, ["run", "--settings", str(settings)])

    def execution_log(self, server_id: str) -> Path:
        """Return the path of a backend server's execution log."""
        return self.path / f"{server_id}.executions"

    def executions(self) -> Iterator[dict[str, object]]:
        """Yield the entries of all execution logs."""
        for server_id in self.server_by_id:
            log = self.execution_log(server_id)
            if log.exists():
                yield from (json.loads(line) for line in log.read_text().splitlines())

    def admin(self, name: str, query: str) -> dict[str, object]:
        """Return the response of an instance to an operator's query."""
        response = self.http.request("GET", f"{self.instance_by_name[name].url}/admin/{query}")
        document: dict[str, object] = response.json()
        return document

    def wait_until(self, condition: Callable[[], bool], timeout_s: float, what: str) -> float:
        """Wait until a condition holds and return the time that it took, in seconds.

        ``what`` names the subject of the condition in the error message.

        Raises
        ------
        TimeoutError
            If the condition does not hold within ``timeout_s`` seconds.
        """
        started = time.monotonic()
        while time.monotonic() - started < timeout_s:
            if condition():
                return time.monotonic() - started
            time.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(f"{what}: condition not met within {timeout_s} s")

    def is_ready(self, name: str) -> bool:
        """Return whether an instance reports that it is ready."""
        return self._status(f"{self.instance_by_name[name].url}/readyz") == 200

    def _status(self, url: str) -> int:
        try:
            return self.http.request("GET", url).status
        except HTTPError:
            return 0

    def _start(self) -> None:
        live_list = self.path / "live.json"
        live_list.write_text(json.dumps({"instances": list(self._live_entries())}))
        arguments = ["--port", str(self.platform_port), "--live-list", str(live_list)]
        self._spawn("platform", "damasktide_standins.platform", arguments)
        platform_url = f"http://{_HOST}:{self.platform_port}/instances"
        self.wait_until(lambda: self._status(platform_url) == 200, _READY_TIMEOUT_S, "platform")
        for server_id in self.server_by_id:
            self.start_server(server_id)
        apply_lists(self.layout, f"http://{_HOST}:{self.platform_port}")
        for name in self.instance_by_name:
            self.start_instance(name)
        for name in self.instance_by_name:
            self.wait_until(lambda name=name: self.is_ready(name), _READY_TIMEOUT_S, name)  # type: ignore[misc]

    def _spawn(self, name: str, module: str, arguments: list[str]) -> None:
        self.process_by_name[name] = ChildProcess(name, module, arguments, self.path)

    def _plan_servers(self) -> Iterator[ServerNode]:
        for service in self.layout.services:
            for domain, region in self.layout.region_by_domain.items():
                yield from self._servers_of(service, domain, region)

    @staticmethod
    def _servers_of(service: ServiceLayout, domain: str, region: str) -> Iterator[ServerNode]:
        ports = free_ports(service.servers_in(domain))
        for index, port in enumerate(ports, 1):
            server_id = f"{service.name}-{domain}-{index}"
            yield ServerNode(
                server_id, service.name, domain, region, port, service.service_time_ms
            )

    def _plan_instances(self) -> Iterator[InstanceNode]:
        for domain in self.layout.region_by_domain:
            for index in range(1, self.layout.instances_in(domain) + 1):
                yield InstanceNode(f"{domain}-{index}", domain, *free_ports(3))

    def _live_entries(self) -> Iterator[dict[str, object]]:
        for node in self.server_by_id.values():
            yield {
                "server_id": node.server_id,
                "service": node.service,
                "domain": node.domain,
                "region": node.region,
                "host": _HOST,
                "port": node.port,
                "slots": 6,
                "connections": 110,
                "state": "live",
            }

    def _settings(self, node: InstanceNode) -> dict[str, object]:
        platform_url = f"http://{_HOST}:{self.platform_port}"
        return {
            "instance": node.name,
            "domain": node.domain,
            "listen": f"{_HOST}:{node.http_port}",
            "gossip_port": node.gossip_port,
            "peer_port": node.peer_port,
            "peer_key": _PEER_KEY,
            "seeds": [f"{_HOST}:{other.gossip_port}" for other in self.instance_by_name.values()],
            "domains": dict(self.layout.region_by_domain),
            "platform": {
                "table_url": platform_url,
                "object_url": platform_url,
                "live_list_url": f"{platform_url}/instances",
            },
            "services": {service.name: service.settings() for service in self.layout.services},
        }
