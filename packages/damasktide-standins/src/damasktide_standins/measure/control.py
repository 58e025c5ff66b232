"""Prints the control-plane cost of idle instances and writes it as JSON.

Run it with ``python -m damasktide_standins.measure.control``.
"""

import json
from dataclasses import asdict
from pathlib import Path

import click

from damasktide_standins.measure.control_cost import bare_interpreter_mb, control_costs
from damasktide_standins.measure.fit import fit
from damasktide_standins.measure.machine import describe_machine
from damasktide_standins.measure.shutdown import exit_on_sigterm

_FITTED_FIELDS = ("core_percent", "resident_mb", "sent_kb_s", "received_kb_s")


@click.command()
@click.option("--output", type=click.Path(path_type=Path), default=Path("build/measure"))
def main(output: Path) -> None:
    """Measure idle deployments of 2 to 16 instances and fit a line to each cost."""
    exit_on_sigterm()
    bare_mb = bare_interpreter_mb()
    click.echo(f"bare interpreter with the libraries: {bare_mb:.1f} MB")
    costs = list(control_costs(click.echo))
    line_by_name = {
        name: fit([(cost.instances, getattr(cost, name)) for cost in costs])
        for name in _FITTED_FIELDS
    }
    for name, line in line_by_name.items():
        click.echo(f"{name}: slope {line.slope:.4f} per instance, intercept {line.intercept:.3f}")
    output.mkdir(parents=True, exist_ok=True)
    document = {
        "machine": describe_machine(),
        "bare_interpreter_mb": bare_mb,
        "costs": [asdict(cost) for cost in costs],
        "lines": {name: asdict(line) for name, line in line_by_name.items()},
    }
    (output / "control.json").write_text(json.dumps(document, indent=1))


if __name__ == "__main__":
    main()
