"""Construction of an instance's servers: HTTP for callers, and calls from other instances."""

from collections.abc import Callable, Mapping

from gevent.pywsgi import WSGIServer

from damasktide.assembly.operator_queries import OperatorQueries
from damasktide.assembly.request_gate import RequestGate
from damasktide.assembly.services import ServiceTasks, register_ownership_calls
from damasktide.assembly.snapshots import Snapshots
from damasktide.catalog.catalog_task import CatalogTask
from damasktide.catalog.offers import CONFIGURATION_KIND, encode_offer
from damasktide.forwarding.request_service import FORWARD_KIND
from damasktide.frontend.app import AppHandlers, build_app
from damasktide.frontend.parsing import RequestBounds
from damasktide.frontend.server import build_server
from damasktide.membership.instances import Instance
from damasktide.peering.server import CallHandler, PeerServer
from damasktide.runtime.registry import Registry
from damasktide.runtime.task import TaskFailed
from damasktide.settings.model import Settings


def build_http_server(
    settings: Settings, gate: RequestGate, snapshots: Snapshots, queries: OperatorQueries
) -> WSGIServer:
    """Return the HTTP server, not yet started."""
    handlers = AppHandlers(
        handle=gate.handle,
        lifecycle=snapshots.lifecycle,
        is_out_of_service=snapshots.is_out_of_service,
        query_by_name=queries.by_name(),
        on_refused=gate.count_refusal,
    )
    bounds = RequestBounds(settings.max_body_bytes, settings.max_header_bytes)
    return build_server(settings.listen.host, settings.listen.port, build_app(handlers, bounds))


def build_peer_server(
    own: Instance,
    key: bytes,
    gate: RequestGate,
    catalog: CatalogTask,
    services: Mapping[str, ServiceTasks],
    on_failure: Callable[[TaskFailed], None],
) -> PeerServer:
    """Return the server for calls from other instances, not yet started."""
    handlers: Registry[str, CallHandler] = Registry("peer call")
    handlers.register(FORWARD_KIND)(gate.handle_forwarded)
    handlers.register(CONFIGURATION_KIND)(lambda _sender, _body: encode_offer(catalog.accepted))
    register_ownership_calls(handlers, services, own.instance_id)
    return PeerServer(own.instance_id, own.host, own.peer_port, key, handlers, on_failure)
