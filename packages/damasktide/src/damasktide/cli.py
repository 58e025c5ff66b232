"""Command line of an entry instance."""

from gevent import monkey

monkey.patch_all()

import signal
import sys

import click
import gevent
from returns.result import Failure

from damasktide.assembly.instance import EntryInstance
from damasktide.runtime.findings import render_findings
from damasktide.settings.reader import read_settings_file
from damasktide.telemetry.logs import configure_logging

EXIT_FINDINGS = 2


@click.group()
def main() -> None:
    """Route requests to backend servers that hold keys exclusively.

    \b
    Exit codes: 0 stopped gracefully, 1 a task failed, 2 findings in the settings.
    """


@main.command()
@click.option("--settings", "path", required=True, help="YAML settings of this instance.")
def run(path: str) -> None:
    """Run an entry instance until SIGTERM.

    \b
    Example:
      damasktide run --settings /etc/damasktide/ondo-a-1.yaml
    """
    read = read_settings_file(path)
    if isinstance(read, Failure):
        click.echo(render_findings(read.failure()), err=True)
        sys.exit(EXIT_FINDINGS)
    settings = read.unwrap()
    log = configure_logging(level=settings.log_level, instance=settings.instance)
    instance = EntryInstance(settings)
    gevent.signal_handler(signal.SIGTERM, instance.drain)
    gevent.signal_handler(signal.SIGINT, instance.drain)
    exit_code = instance.run()
    log.stop()
    sys.exit(exit_code)


@main.command()
@click.argument("path")
def check(path: str) -> None:
    """Check a settings file and report every finding.

    \b
    Example:
      damasktide check /etc/damasktide/ondo-a-1.yaml
    """
    read = read_settings_file(path)
    if isinstance(read, Failure):
        click.echo(render_findings(read.failure()), err=True)
        sys.exit(EXIT_FINDINGS)
    click.echo(f"{path}: no findings")
