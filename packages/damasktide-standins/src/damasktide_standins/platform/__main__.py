"""Runs the stand-in for the platform as a process."""

from gevent import monkey

monkey.patch_all()

import json
from pathlib import Path

import click

from damasktide_standins.platform.app import PlatformApp
from damasktide_standins.platform.live_list import parse_entries
from damasktide_standins.platform.server import PlatformServer


@click.command()
@click.option("--port", type=int, required=True, help="TCP port on 127.0.0.1.")
@click.option(
    "--live-list",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help='JSON file {"instances": [...]} with the initial live list.',
)
def main(port: int, live_list: Path | None) -> None:
    """Serve the table service, object store and live list until the process is terminated."""
    app = PlatformApp()
    if live_list is not None:
        try:
            app.live_list.replace(parse_entries(json.loads(live_list.read_text())))
        except ValueError as error:
            raise click.BadParameter(str(error), param_hint="--live-list") from None
    PlatformServer(port, app).serve_forever()


if __name__ == "__main__":
    main()
