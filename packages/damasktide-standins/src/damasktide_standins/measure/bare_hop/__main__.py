"""Runs the bare hop until SIGTERM."""

from gevent import monkey

monkey.patch_all()

import signal
from itertools import cycle

import click
import gevent
from bottle import Bottle, HTTPResponse, request
from gevent.event import Event
from urllib3 import HTTPConnectionPool

from damasktide.frontend.server import build_server

MAX_CONNECTIONS = 24
# A backend server reads the request id and the deadline from these headers.
_FORWARDED_HEADERS = ("Idempotency-Key", "Damasktide-Deadline-Ms")


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--target", "targets", multiple=True, required=True, help="HOST:PORT")
def main(port: int, targets: tuple[str, ...]) -> None:
    """Forward each request to the next target."""
    pools = cycle([_pool(target) for target in targets])
    app = Bottle()

    def forward(path: str) -> HTTPResponse:
        headers = {name: request.get_header(name, "") for name in _FORWARDED_HEADERS}
        response = next(pools).urlopen(
            request.method, f"/{path}", body=request.body.read(), headers=headers, retries=False
        )
        content_type = response.headers.get("Content-Type", "")
        return HTTPResponse(response.data, response.status, {"Content-Type": content_type})

    app.route("/<path:path>", ["GET", "PUT"], forward)
    # Uses damasktide's own server, which sets TCP_NODELAY as urllib3 does for its connections.
    server = build_server("127.0.0.1", port, app)
    server.start()
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    stopped.wait()
    server.stop()


def _pool(target: str) -> HTTPConnectionPool:
    host, _, port = target.partition(":")
    return HTTPConnectionPool(host, int(port), maxsize=MAX_CONNECTIONS, block=False)


if __name__ == "__main__":
    main()
