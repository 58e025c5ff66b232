"""Options shared by several commands, and helpers for their help texts."""

import functools
import getpass
import uuid
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import click

from damasktide.catalog.changes import Change
from damasktide.store.endpoints import CALL_TIMEOUT_S, StoreEndpoints
from damasktide.store.store_task import StoreTask
from damasktidectl.formats import formats
from damasktidectl.reports import Report

# Limit of the table service for request tokens.
MAX_CHANGE_ID_LENGTH = 36

Command = Callable[..., Report]


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """The values of the options of a change.

    Attributes
    ----------
    author
        Who makes the change.
    based_on
        Version that the author has seen, or None for the current one.
    change_id
        Id of the change: a new one, or that of an earlier attempt.
    repeated
        Whether there was an earlier attempt.
    """

    author: str
    based_on: int | None
    change_id: str
    repeated: bool

    def change(self, edit: str, argument: str = "", lists: bytes | None = None) -> Change:
        """Return the change for the kind of edit ``edit``, such as ``domain-out``."""
        return Change(
            self.author, self.change_id, edit, argument, self.based_on, lists, self.repeated
        )


def examples(*lines: str) -> str:
    """Return the epilog of a help text that shows ``lines`` verbatim."""
    # A line with only a backspace tells click to keep the line breaks that follow.
    return "\n".join(["\b", "Examples:", *(f"  {line}" for line in lines)])


def prints_report(command: Command) -> Callable[..., None]:
    """Add ``--output``, print the report of the command and exit with its exit code."""

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
        help="Base URL of the object store; defaults to that of the table service.",
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
    """Add the options of a change and pass their values as ``request``."""

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
    @click.option("--change-id", help="Id of an earlier attempt to repeat; requires --based-on.")
    @functools.wraps(command)
    def run(author: str, based_on: int | None, change_id: str | None, **options: Any) -> Report:
        request = _create_request(author, based_on, change_id)
        return command(request=request, **options)

    return run


def _create_request(author: str, based_on: int | None, change_id: str | None) -> ChangeRequest:
    if change_id is None:
        return ChangeRequest(author, based_on, str(uuid.uuid4()), repeated=False)
    if based_on is None:
        # Without the base version, an attempt older than the row's history could apply twice.
        raise click.UsageError("--change-id needs the --based-on of the first attempt")
    if not 1 <= len(change_id) <= MAX_CHANGE_ID_LENGTH:
        raise click.UsageError(f"--change-id must have 1 to {MAX_CHANGE_ID_LENGTH} characters")
    return ChangeRequest(author, based_on, change_id, repeated=True)


@contextmanager
def open_store(endpoints: StoreEndpoints) -> Iterator[StoreTask]:
    """Run a store task for the duration of a command."""
    store = StoreTask(endpoints)
    store.start()
    try:
        yield store
    finally:
        store.stop()
