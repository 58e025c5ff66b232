"""Commands for the lists of customers and plans: validate, diff, apply."""

from pathlib import Path
from typing import Any

import click
from returns.pipeline import is_successful
from returns.result import Failure, Result

from damasktide.catalog.canonical import encode_catalog
from damasktide.catalog.changes import Change, apply_change, read_catalog
from damasktide.catalog.differences import Difference, compare_catalogs
from damasktide.catalog.lists import Catalog
from damasktide.catalog.reading import CUSTOMERS_FILE, PLANS_FILE, read_lists
from damasktide.runtime.findings import Finding, SourceLocation
from damasktide.store.endpoints import StoreEndpoints
from damasktidectl.options import (
    ChangeRequest,
    examples,
    makes_change,
    open_store,
    prints_report,
    uses_store,
)
from damasktidectl.reports import Report, report_applied, report_error, report_findings

DIRECTORY = click.Path(exists=True, file_okay=False, path_type=Path)


@click.command(
    epilog=examples(
        "damasktidectl validate examples/cocoa-commons",
        "damasktidectl validate --output json examples/nile-auroral",
    )
)
@click.argument("directory", type=DIRECTORY)
@prints_report
def validate(directory: Path) -> Report:
    """Check customers.yaml and plans.yaml in DIRECTORY and show all findings at once.

    The store is not contacted. Exit codes: 0 no findings, 2 findings.
    """
    read = _read_directory(directory)
    if not is_successful(read):
        return report_findings(read.failure())
    catalog = read.unwrap()
    counts = {"customers": len(catalog.customers), "plans": len(catalog.plans)}
    return Report({"result": "valid", **counts})


@click.command(
    epilog=examples("damasktidectl diff examples/cocoa-commons --table-url http://127.0.0.1:8000")
)
@click.argument("directory", type=DIRECTORY)
@prints_report
@uses_store
def diff(directory: Path, endpoints: StoreEndpoints) -> Report:
    """Show what applying DIRECTORY would change in the accepted lists.

    Exit codes: 0 compared, 1 the accepted lists cannot be used, 2 findings, 3 store not
    reachable.
    """
    read = _read_directory(directory)
    if not is_successful(read):
        return report_findings(read.failure())
    with open_store(endpoints) as store:
        current = read_catalog(store)
    if not is_successful(current):
        return report_error(current.failure())
    configuration, accepted = current.unwrap()
    differences = compare_catalogs(accepted, read.unwrap())
    rows = [row for difference in differences for row in _difference_rows(difference)]
    return Report({"version": configuration.version, "differences": rows})


@click.command(
    epilog=examples(
        "damasktidectl apply examples/cocoa-commons --based-on 41",
        "damasktidectl apply examples/cocoa-commons --based-on 41 --change-id 0f3b...",
    )
)
@click.argument("directory", type=DIRECTORY)
@prints_report
@uses_store
@makes_change
def apply(directory: Path, endpoints: StoreEndpoints, request: ChangeRequest) -> Report:
    """Make the lists in DIRECTORY the accepted ones.

    The output states the version that the change was based on. If another change came first,
    it names the author and version of that change. Exit codes: 0 applied and durable,
    1 refused or conflict, 2 findings, 3 store not reachable.
    """
    read = _read_directory(directory)
    if not is_successful(read):
        return report_findings(read.failure())
    lists = encode_catalog(read.unwrap())
    return run_change(endpoints, request.change("lists", lists=lists))


def run_change(endpoints: StoreEndpoints, change: Change) -> Report:
    """Apply a change and report it."""
    with open_store(endpoints) as store:
        applied = apply_change(store, change)
    if is_successful(applied):
        return report_applied(change, applied.unwrap())
    return report_error(applied.failure(), change)


def _read_directory(directory: Path) -> Result[Catalog, tuple[Finding, ...]]:
    findings: list[Finding] = []
    text_by_file: dict[str, str] = {}
    for file in (CUSTOMERS_FILE, PLANS_FILE):
        try:
            text_by_file[file] = (directory / file).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            findings.append(
                Finding(SourceLocation(str(directory / file), 1, ""), f"not read: {error}")
            )
    if findings:
        return Failure(tuple(findings))
    return read_lists(
        text_by_file[CUSTOMERS_FILE],
        text_by_file[PLANS_FILE],
        str(directory / CUSTOMERS_FILE),
        str(directory / PLANS_FILE),
    )


def _difference_rows(difference: Difference) -> list[dict[str, Any]]:
    entry = {
        "kind": difference.kind.value,
        "entry": difference.entry,
        "name": difference.name,
    }
    if not difference.fields:
        return [{**entry, "field": "", "before": None, "after": None}]
    return [
        {**entry, "field": change.field, "before": change.before, "after": change.after}
        for change in difference.fields
    ]
