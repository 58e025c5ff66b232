"""Runs one stand-in backend server until SIGTERM."""

from gevent import monkey

monkey.patch_all()

import signal
from pathlib import Path

import click
import gevent
from gevent.event import Event

from damasktide_standins.backend_server.requests import ServerSettings
from damasktide_standins.backend_server.server import BackendServer


@click.command()
@click.option("--server-id", required=True)
@click.option("--service", required=True)
@click.option("--port", type=int, required=True, help="0 picks a free port.")
@click.option("--slots", default=6, show_default=True)
@click.option("--connections", default=110, show_default=True)
@click.option("--service-time-ms", default=5.0, show_default=True)
@click.option("--unchecked", is_flag=True, help="Run keyed requests without a grant.")
@click.option("--execution-log", type=click.Path(path_type=Path), help="One JSON line per run.")
def main(
    server_id: str,
    service: str,
    port: int,
    slots: int,
    connections: int,
    service_time_ms: float,
    unchecked: bool,
    execution_log: Path | None,
) -> None:
    """Run one stand-in backend server until SIGTERM."""
    settings = ServerSettings(
        server_id, service, slots, connections, service_time_ms, not unchecked
    )
    server = BackendServer(settings, port, execution_log)
    server.start()
    click.echo(f"listening on port {server.port}")
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    stopped.wait()
    server.stop()


if __name__ == "__main__":
    main()
