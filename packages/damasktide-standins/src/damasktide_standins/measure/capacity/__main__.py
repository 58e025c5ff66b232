"""Prints the computed cost of each role at the design size."""

from pathlib import Path

import click

from damasktide_standins.measure.capacity.model import Size, read_measurements
from damasktide_standins.measure.capacity.roles import FORWARDING_ROLES, Cost, roles

TARGET_CORE_PERCENT = 3.9
TARGET_MEMORY_MB = 32.0
TARGET_KB_PER_S = 17.0


@click.command()
@click.argument("slopes", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
@click.option("--entry", "entries", multiple=True, type=int, default=(38, 76, 152, 380))
@click.option("--router-us", type=float, help="Processor time per request, from measure.hop.")
@click.option("--grant-us", type=float, help="Processor time per grant, from measure.control.")
def main(
    slopes: tuple[Path, ...],
    entries: tuple[int, ...],
    router_us: float | None,
    grant_us: float | None,
) -> None:
    """Compute each role from the JSON files of measure.slopes; later files override earlier."""
    measured = read_measurements(slopes)
    for count in entries:
        size = Size(count)
        costs = {name: roles.get(name)(measured, size) for name in roles}
        if grant_us is not None:
            grant_calls = Cost(size.grants_per_s * grant_us / 1e4, 0.0, 0.0)
            costs["renewer: calls of the grants"] = grant_calls
        click.echo(f"\n{count} entry instances, {size.servers} backend servers (computed)")
        for name, cost in costs.items():
            _print(name, cost)
        control_costs = [cost for name, cost in costs.items() if name not in FORWARDING_ROLES]
        _print_total(control_costs)
        _print_rates(size, router_us)


def _print(name: str, cost: Cost) -> None:
    click.echo(
        f"  {name:48} {cost.core_percent:8.2f}% {cost.kb_per_s:9.2f} KB/s {cost.memory_mb:8.3f} MB"
    )


def _print_total(costs: list[Cost]) -> None:
    total = Cost(
        sum(cost.core_percent for cost in costs),
        sum(cost.kb_per_s for cost in costs),
        sum(cost.memory_mb for cost in costs),
    )
    _print("all roles of control", total)
    ratios = Cost(
        total.core_percent / TARGET_CORE_PERCENT,
        total.kb_per_s / TARGET_KB_PER_S,
        total.memory_mb / TARGET_MEMORY_MB,
    )
    click.echo(
        f"  over the target by {ratios.core_percent:.1f} (core), {ratios.kb_per_s:.1f} "
        f"(KB/s), {ratios.memory_mb:.2f} (MB)"
    )


def _print_rates(size: Size, router_us: float | None) -> None:
    per_entry = size.requests_per_s / size.entry_instances
    click.echo(f"  {per_entry:.0f} requests/s and {size.grants_per_s:.0f} grants/s an instance")
    if router_us is not None:
        cores = per_entry * router_us / 1e6
        click.echo(f"  {cores:.0f} cores an instance for forwarding")


if __name__ == "__main__":
    main()
