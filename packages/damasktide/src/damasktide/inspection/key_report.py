"""Report on the target to which a key is assigned and on why it may not serve the key yet."""

from collections.abc import Iterator
from dataclasses import dataclass

from damasktide.inspection.tables import SystemTables
from damasktide.keyspace.key_map import KEY_COUNT, Incarnation, KeyRange
from damasktide.targets.target import TargetEntry, TargetState


class UnknownKeyError(ValueError):
    """The service is not configured, or the key is out of range."""


@dataclass(frozen=True, slots=True)
class KeyReport:
    """State of one key, as recorded in the store.

    Attributes
    ----------
    service, key
        Service and number of the key.
    holder, previous
        Ids of the target to which the key is assigned, and of the target that may still hold it
        during a move; None if there is no such target. During a move, the holder has no grant
        for the key yet.
    address, domain
        Address and failure domain of the holder; None if the holder is not listed.
    fence
        Fencing token of the holder's grant; 0 if there is no holder.
    map_version
        Version of the map's row; 0 if there is no map.
    notes
        Reasons why requests for the key may not be served, or a note that there are none.
    """

    service: str
    key: int
    holder: str | None = None
    previous: str | None = None
    address: str | None = None
    domain: str | None = None
    fence: int = 0
    map_version: int = 0
    notes: tuple[str, ...] = ()


def explain_key(tables: SystemTables, service: str, key: int) -> KeyReport:
    """Report on ``key`` of ``service``.

    Raises
    ------
    UnknownKeyError
        If the service is not configured, or the key is out of range.
    """
    if not 0 <= key < KEY_COUNT:
        raise UnknownKeyError(f"key {key} is not between 0 and {KEY_COUNT - 1}")
    service_by_name = (
        tables.configuration.service_by_name if tables.configuration is not None else {}
    )
    if service not in service_by_name:
        names = ", ".join(sorted(service_by_name)) or "none"
        raise UnknownKeyError(f"service {service!r} is not configured; configured: {names}")
    if not service_by_name[service].is_keyed:
        return KeyReport(service, key, notes=("the service is not keyed: any target serves it",))
    key_map = tables.map_by_service.get(service)
    key_range = key_map.find(key) if key_map is not None else None
    version = key_map.version if key_map is not None else 0
    if key_range is None:
        note = "no target has the key yet; the leader assigns it when one is ready"
        return KeyReport(service, key, map_version=version, notes=(note,))
    entry = _find_entry(tables, key_range.holder)
    return KeyReport(
        service,
        key,
        holder=key_range.holder[0],
        previous=key_range.previous[0] if key_range.previous is not None else None,
        address=f"{entry.address[0]}:{entry.address[1]}" if entry is not None else None,
        domain=entry.domain if entry is not None else None,
        fence=key_range.fence,
        map_version=version,
        notes=tuple(_notes(tables, key_range, entry)) or ("the holder may serve it",),
    )


def _find_entry(tables: SystemTables, incarnation: Incarnation) -> TargetEntry | None:
    return next((entry for entry in tables.targets if entry.incarnation == incarnation), None)


def _notes(tables: SystemTables, key_range: KeyRange, entry: TargetEntry | None) -> Iterator[str]:
    if key_range.previous is not None:
        yield (
            f"on the move: {key_range.previous[0]} has not given it back yet, and its last grant "
            "may still hold"
        )
    if not tables.leader.instance:
        yield "there is no leader, so grants are not renewed and keys do not move"
    if entry is None:
        is_restarted = any(target.target_id == key_range.holder[0] for target in tables.targets)
        yield (
            "the holder has started anew and has lost its grants; the leader assigns the key again"
            if is_restarted
            else "the holder is not listed; the leader moves the key when its grants have ended"
        )
        return
    if entry.state is TargetState.DRAINING:
        yield "the holder is leaving; the leader moves its keys"
    if entry.domain in tables.evacuated_domains:
        yield f"failure domain {entry.domain} is evacuated; the leader moves its keys"
