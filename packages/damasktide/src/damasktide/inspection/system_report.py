"""Summary of the state of the system, in sections."""

from collections import Counter
from collections.abc import Callable, Iterator

from damasktide.inspection.tables import SystemTables
from damasktide.keyspace.key_map import KEY_COUNT, KeyMap
from damasktide.runtime.registry import Registry
from damasktide.targets.target import TargetState

SectionRenderer = Callable[[SystemTables], Iterator[str]]

sections: Registry[str, SectionRenderer] = Registry("section")


def describe_system(tables: SystemTables) -> dict[str, tuple[str, ...]]:
    """Return the lines of each section by its name, without empty sections."""
    lines_by_name = {name: tuple(sections.get(name)(tables)) for name in sections}
    return {name: lines for name, lines in lines_by_name.items() if lines}


@sections.register("leader")
def leader(tables: SystemTables) -> Iterator[str]:
    """Yield the instance that may change the maps."""
    record = tables.leader
    yield f"{record.instance} (boot {record.boot})" if record.instance else "none"


@sections.register("configuration")
def configuration(tables: SystemTables) -> Iterator[str]:
    """Summarise the newest configuration."""
    newest = tables.configuration
    if newest is None:
        yield "none that can be read"
        return
    yield (
        f"version {newest.version}: {len(newest.routes)} routes, "
        f"{len(newest.service_by_name)} services"
    )


@sections.register("evacuated")
def evacuated(tables: SystemTables) -> Iterator[str]:
    """Yield the evacuated failure domains, whose targets receive no requests."""
    yield from sorted(tables.evacuated_domains)


@sections.register("instances")
def instances(tables: SystemTables) -> Iterator[str]:
    """Yield the registered instances of each failure domain."""
    domains = sorted(set(tables.domain_by_instance.values()))
    for domain in domains:
        names = sorted(
            name for name, own_domain in tables.domain_by_instance.items() if own_domain == domain
        )
        yield f"{domain}: {len(names)} ({', '.join(names)})"


@sections.register("targets")
def targets(tables: SystemTables) -> Iterator[str]:
    """Summarise the listed targets of each service."""
    listed_services = {entry.service for entry in tables.targets}
    service_by_name = (
        tables.configuration.service_by_name if tables.configuration is not None else {}
    )
    for service in sorted(listed_services | set(service_by_name)):
        count_by_state = Counter(
            entry.state for entry in tables.targets if entry.service == service
        )
        slots = sum(
            entry.slots
            for entry in tables.targets
            if entry.service == service and entry.state is TargetState.READY
        )
        suffix = "" if service in service_by_name else ", not configured"
        yield (
            f"{service}: {count_by_state[TargetState.READY]} ready with {slots} slots, "
            f"{count_by_state[TargetState.DRAINING]} leaving{suffix}"
        )


@sections.register("keys")
def keys(tables: SystemTables) -> Iterator[str]:
    """Count the keys of each keyed service that are held, moving or without a holder."""
    service_by_name = (
        tables.configuration.service_by_name if tables.configuration is not None else {}
    )
    keyed_services = {service.name for service in service_by_name.values() if service.is_keyed}
    for service in sorted(keyed_services | set(tables.map_by_service)):
        key_map = tables.map_by_service.get(service, KeyMap(service))
        moving = sum(key_range.size for key_range in key_map.ranges if not key_range.is_settled)
        held = sum(key_range.size for key_range in key_map.ranges) - moving
        holders = len({key_range.holder for key_range in key_map.ranges})
        yield (
            f"{service}: {held} of {KEY_COUNT} held (holders: {holders}), {moving} on the move, "
            f"{KEY_COUNT - held - moving} without a holder"
        )


@sections.register("unreadable")
def unreadable(tables: SystemTables) -> Iterator[str]:
    """Yield the rows that could not be decoded."""
    yield from tables.unreadable
