"""Entry point of damasktidectl."""

from gevent import monkey

monkey.patch_all()

import click

from damasktidectl.list_commands import apply, diff, validate
from damasktidectl.options import examples
from damasktidectl.query_commands import explain, status
from damasktidectl.service_commands import domain, instance


@click.group(
    epilog=examples(
        "damasktidectl validate examples/cocoa-commons",
        "damasktidectl apply examples/cocoa-commons --based-on 41",
        "damasktidectl domain out ondo-a",
        "damasktidectl explain batch-desk run-2291",
    )
)
@click.version_option(package_name="damasktidectl")
def main() -> None:
    """Operate damasktide.

    Exit codes of all commands: 0 done, 1 refused or conflict, 2 findings in the input,
    3 store not reachable.
    """


for command in (validate, diff, apply, status, domain, instance, explain):
    main.add_command(command)
