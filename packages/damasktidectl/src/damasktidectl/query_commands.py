"""Commands that only read: status and explain."""

import json
from dataclasses import asdict
from urllib.parse import quote

import click
from returns.pipeline import is_successful

from damasktide.catalog.changes import read_configuration
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.transport import HttpResponse, HttpTransport
from damasktidectl.options import examples, open_store, prints_report, uses_store
from damasktidectl.reports import ExitCode, Report, report_error


@click.command(
    epilog=examples(
        "damasktidectl status --table-url http://127.0.0.1:8000",
        "DAMASKTIDE_TABLE_URL=http://127.0.0.1:8000 damasktidectl status --output json",
    )
)
@prints_report
@uses_store
def status(endpoints: StoreEndpoints) -> Report:
    """Show the accepted configuration and what is out of service.

    Exit codes: 0 shown, 1 the row cannot be used, 3 store not reachable.
    """
    with open_store(endpoints) as store:
        read = read_configuration(store)
    if not is_successful(read):
        return report_error(read.failure())
    return Report(asdict(read.unwrap()[1]))


@click.command(
    epilog=examples(
        "damasktidectl explain batch-desk run-2291 --instance-url http://127.0.0.1:8080"
    )
)
@click.argument("service")
@click.argument("key")
@click.option(
    "--instance-url",
    envvar="DAMASKTIDE_INSTANCE_URL",
    required=True,
    help="Base URL of the instance to ask.",
)
@click.option(
    "--timeout",
    type=click.FloatRange(0.1, 60),
    default=5.0,
    show_default=True,
    help="Seconds to wait for the instance.",
)
@prints_report
def explain(service: str, key: str, instance_url: str, timeout: float) -> Report:
    """Ask an instance who owns KEY of SERVICE, why, and what a pending move waits for.

    Exit codes: 0 shown, 1 the instance refused or did not respond.
    """
    path = f"/admin/explain/{quote(service, safe='')}/{quote(key, safe='')}"
    result = HttpTransport(instance_url, timeout).call("GET", path, None, {})
    if not is_successful(result):
        document = {"result": "unavailable", "detail": result.failure().detail}
        return Report(document, ExitCode.REFUSED)
    return _explanation(result.unwrap())


def _explanation(response: HttpResponse) -> Report:
    try:
        document = json.loads(response.body)
    except ValueError:
        document = None
    if response.status == 200 and isinstance(document, dict):
        return Report(document)
    detail = f"the instance responded {response.status}"
    if isinstance(document, dict) and "detail" in document:
        detail = f"{detail}: {document['detail']}"
    return Report({"result": "refused", "detail": detail}, ExitCode.REFUSED)
