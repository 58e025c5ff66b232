"""Options that several commands share."""

import functools
import getpass
import uuid
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import click

from damasktide.store.endpoints import CALL_TIMEOUT_S, StoreEndpoints
from damasktide.store.store_task import StoreTask
from damasktidectl.formats import formats
from damasktidectl.reports import Report

LONGEST_CHANGE_ID = 36

Command = Callable[..., Report]


def examples(*lines: str) -> str:
    """Return the end of a help text that shows ``lines`` as they are."""
    # A line with only a backspace tells click to keep the line breaks that follow.
    return "\n".join(["\b", "Examples:", *(f"  {line}" for line in lines)])


def reports(command: Command) -> Callable[..., None]:
    """Add ``--output``, print the report and exit with its code."""

    @click.option(
        "--output",
        type=click.Choice(list(formats)),
        default="table",
        show_default=True,
        help="Format of the output.",
    )
    @functools.wraps(command)
    def run(output: str, **options: Any) -> None:
        report = command(**options)
        click.echo(formats.get(output)(report.document))
        click.get_current_context().exit(int(report.exit_code))

    return run


def uses_store(command: Command) -> Command:
    """Add the options of the store and pass them as ``endpoints``."""

    @click.option(
        "--table-url",
        envvar="DAMASKTIDE_TABLE_URL",
        required=True,
        help="Base URL of the table service.",
    )
    @click.option(
        "--object-url",
        envvar="DAMASKTIDE_OBJECT_URL",
        help="Base URL of the object store; the table service's if absent.",
    )
    @click.option("--table", default="damasktide", show_default=True, help="Name of the table.")
    @click.option("--bucket", default="damasktide", show_default=True, help="Name of the bucket.")
    @click.option(
        "--timeout",
        type=click.FloatRange(0.1, 60),
        default=CALL_TIMEOUT_S,
        show_default=True,
        help="Seconds for one call to the store.",
    )
    @functools.wraps(command)
    def run(
        table_url: str,
        object_url: str | None,
        table: str,
        bucket: str,
        timeout: float,
        **options: Any,
    ) -> Report:
        endpoints = StoreEndpoints(table_url, object_url or table_url, table, bucket, timeout)
        return command(endpoints=endpoints, **options)

    return run


def makes_change(command: Command) -> Command:
    """Add the options of a change and pass author, change id and base."""

    @click.option(
        "--author",
        envvar="DAMASKTIDE_AUTHOR",
        default=getpass.getuser,
        show_default="the login name",
        help="Who makes the change.",
    )
    @click.option(
        "--based-on",
        type=click.IntRange(min=0),
        help="Version that you have seen; the change fails if it is no longer current.",
    )
    @click.option(
        "--change-id", help="Id of an earlier attempt that is repeated; needs --based-on."
    )
    @functools.wraps(command)
    def run(change_id: str | None, based_on: int | None, **options: Any) -> Report:
        if change_id is not None and based_on is None:
            # Without the base, an attempt older than the row's memory could apply twice.
            raise click.UsageError("--change-id needs the --based-on of the first attempt")
        if change_id is not None and not 1 <= len(change_id) <= LONGEST_CHANGE_ID:
            raise click.UsageError(f"--change-id has 1 to {LONGEST_CHANGE_ID} characters")
        change_id = change_id or str(uuid.uuid4())
        return command(change_id=change_id, based_on=based_on, **options)

    return run


@contextmanager
def open_store(endpoints: StoreEndpoints) -> Iterator[StoreTask]:
    """Run a store task for the duration of a command."""
    store = StoreTask(endpoints)
    store.start()
    try:
        yield store
    finally:
        store.stop()
