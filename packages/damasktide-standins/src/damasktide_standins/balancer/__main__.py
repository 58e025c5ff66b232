"""Runs the stand-in load balancer until SIGTERM."""

from gevent import monkey

monkey.patch_all()

import signal

import click
import gevent
from gevent.event import Event

from damasktide_standins.balancer.proxy import Endpoint, TcpLoadBalancer


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--instance", "instances", multiple=True, required=True, help="HOST:PORT")
def main(port: int, instances: tuple[str, ...]) -> None:
    """Run the stand-in load balancer until SIGTERM."""
    addresses = (instance.rsplit(":", 1) for instance in instances)
    balancer = TcpLoadBalancer(
        tuple(Endpoint(host, int(port_text)) for host, port_text in addresses), port
    )
    balancer.start()
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    stopped.wait()
    balancer.stop()


if __name__ == "__main__":
    main()
