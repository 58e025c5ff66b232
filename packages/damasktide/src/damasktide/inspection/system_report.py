"""The state of the whole system in a few lines, section by section."""

from collections import Counter
from collections.abc import Callable, Iterator

from damasktide.inspection.tables import SystemTables
from damasktide.keyspace.key_map import KEY_COUNT, KeyMap
from damasktide.runtime.registry import Registry
from damasktide.targets.target import TargetState

Section = Callable[[SystemTables], Iterator[str]]

sections: Registry[str, Section] = Registry("section")


def describe_system(tables: SystemTables) -> dict[str, tuple[str, ...]]:
    """Return the lines of each section by its name; sections without lines are left out."""
    lines_by_name = {name: tuple(sections.get(name)(tables)) for name in sections}
    return {name: lines for name, lines in lines_by_name.items() if lines}


@sections.register("leader")
def leader(tables: SystemTables) -> Iterator[str]:
    """Tell which instance may change the maps."""
    record = tables.leader
    yield f"{record.instance} (boot {record.boot})" if record.instance else "none"


@sections.register("configuration")
def configuration(tables: SystemTables) -> Iterator[str]:
    """Tell the newest configuration."""
    found = tables.configuration
    if found is None:
        yield "none that can be read"
        return
    yield (
        f"version {found.version}: {len(found.routes)} routes, "
        f"{len(found.service_by_name)} services"
    )


@sections.register("evacuated")
def evacuated(tables: SystemTables) -> Iterator[str]:
    """Tell the failure domains whose targets get nothing."""
    yield from sorted(tables.evacuated_domains)


@sections.register("instances")
def instances(tables: SystemTables) -> Iterator[str]:
    """Tell the registered instances of each failure domain."""
    domains = sorted(set(tables.domain_by_instance.values()))
    for domain in domains:
        names = sorted(
            name for name, place in tables.domain_by_instance.items() if place == domain
        )
        yield f"{domain}: {len(names)} ({', '.join(names)})"


@sections.register("targets")
def targets(tables: SystemTables) -> Iterator[str]:
    """Tell the listed targets of each service."""
    listed = {entry.service for entry in tables.targets}
    known = tables.configuration.service_by_name if tables.configuration is not None else {}
    for service in sorted(listed | set(known)):
        count = Counter(item.state for item in tables.targets if item.service == service)
        slots = sum(
            item.slots
            for item in tables.targets
            if item.service == service and item.state is TargetState.READY
        )
        unknown = "" if service in known else ", not configured"
        yield (
            f"{service}: {count[TargetState.READY]} ready with {slots} slots, "
            f"{count[TargetState.DRAINING]} leaving{unknown}"
        )


@sections.register("keys")
def keys(tables: SystemTables) -> Iterator[str]:
    """Tell how much of each keyed service's keys is held, on the move or without a holder."""
    known = tables.configuration.service_by_name if tables.configuration is not None else {}
    keyed = {service.name for service in known.values() if service.is_keyed}
    for service in sorted(keyed | set(tables.map_by_service)):
        key_map = tables.map_by_service.get(service, KeyMap(service))
        moving = sum(item.size for item in key_map.ranges if not item.is_settled)
        held = sum(item.size for item in key_map.ranges) - moving
        holders = len({item.holder for item in key_map.ranges})
        yield (
            f"{service}: {held} of {KEY_COUNT} held (holders: {holders}), {moving} on the move, "
            f"{KEY_COUNT - held - moving} without a holder"
        )


@sections.register("unreadable")
def unreadable(tables: SystemTables) -> Iterator[str]:
    """Tell the rows that could not be read."""
    yield from tables.unreadable
