"""Commands that take failure domains and instances out of service and bring them back."""

import re

import click

from damasktide.catalog.changes import Change
from damasktide.store.endpoints import StoreEndpoints
from damasktidectl.list_commands import run_change
from damasktidectl.options import ChangeRequest, examples, makes_change, prints_report, uses_store
from damasktidectl.reports import Report

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._#-]{0,99}")


@click.group()
def domain() -> None:
    """Take a failure domain out of service, or bring it back."""


@click.group()
def instance() -> None:
    """Take an instance out of service, or bring it back."""


@domain.command(
    "out", epilog=examples("damasktidectl domain out ondo-a --table-url http://127.0.0.1:8000")
)
@click.argument("name")
@prints_report
@uses_store
@makes_change
def domain_out(name: str, endpoints: StoreEndpoints, request: ChangeRequest) -> Report:
    """Take the failure domain NAME out of service.

    It receives no new work after a few seconds. Exit codes: 0 accepted, or already out,
    1 refused or conflict, 3 store not reachable.
    """
    return _edit(endpoints, request.change("domain-out", name))


@domain.command(
    "in", epilog=examples("damasktidectl domain in ondo-a --table-url http://127.0.0.1:8000")
)
@click.argument("name")
@prints_report
@uses_store
@makes_change
def domain_in(name: str, endpoints: StoreEndpoints, request: ChangeRequest) -> Report:
    """Bring the failure domain NAME back.

    Its share of the requests grows in steps. Exit codes: 0 accepted, or not out, 1 refused or
    conflict, 3 store not reachable.
    """
    return _edit(endpoints, request.change("domain-in", name))


@instance.command(
    "out", epilog=examples("damasktidectl instance out ondo-a-1 --table-url http://127.0.0.1:8000")
)
@click.argument("instance_id", metavar="ID")
@prints_report
@uses_store
@makes_change
def instance_out(instance_id: str, endpoints: StoreEndpoints, request: ChangeRequest) -> Report:
    """Take the instance ID out of service.

    Exit codes: 0 accepted, or already out, 1 refused or conflict, 3 store not reachable.
    """
    return _edit(endpoints, request.change("instance-out", instance_id))


@instance.command(
    "in", epilog=examples("damasktidectl instance in ondo-a-1 --table-url http://127.0.0.1:8000")
)
@click.argument("instance_id", metavar="ID")
@prints_report
@uses_store
@makes_change
def instance_in(instance_id: str, endpoints: StoreEndpoints, request: ChangeRequest) -> Report:
    """Bring the instance ID back.

    Exit codes: 0 accepted, or not out, 1 refused or conflict, 3 store not reachable.
    """
    return _edit(endpoints, request.change("instance-in", instance_id))


def _edit(endpoints: StoreEndpoints, change: Change) -> Report:
    if not _NAME.fullmatch(change.argument):
        raise click.BadParameter(f"{change.argument!r} is not a valid name")
    return run_change(endpoints, change)
