"""Reads the tables of the system once, without waiting for later changes."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from damasktide.keyspace.codec import (
    MalformedRowError,
    decode_instance,
    decode_leader,
    decode_map,
)
from damasktide.keyspace.key_map import KeyMap
from damasktide.keyspace.leadership import LeaderRecord
from damasktide.keyspace.table import INSTANCE_PREFIX, LEADER_KEY, LEADER_TABLE, MAP_PREFIX, TABLE
from damasktide.routing.configuration import RoutingConfiguration
from damasktide.routing.task import Evacuation, MalformedRecordError, RecordDecoder
from damasktide.rows.store import Row, RowStore
from damasktide.targets.target import TargetEntry
from damasktide.targets.task import MalformedEntryError, TargetDecoder

T = TypeVar("T")


class StoreLayout(Protocol):
    """Tables of the platform that the system reads but does not write, and their decoders."""

    @property
    def target_table(self) -> str:
        """Table in which targets are listed."""

    @property
    def decode_target(self) -> TargetDecoder:
        """Decoder of a row of the target table."""

    @property
    def operator_table(self) -> str:
        """Table that operators write."""

    @property
    def decode_record(self) -> RecordDecoder:
        """Decoder of a row of the operators' table."""


@dataclass(frozen=True, slots=True)
class SystemTables:
    """The rows of all tables.

    Each table is a consistent snapshot as of its own read; the tables are read one after the
    other.

    Attributes
    ----------
    targets
        Listed targets, sorted by id.
    configuration
        The newest configuration, or None if there is none that can be decoded.
    evacuated_domains
        Evacuated failure domains, whose targets receive no requests.
    leader
        The lease of the leader.
    domain_by_instance
        Failure domain of each registered instance.
    map_by_service
        Map of the key holders of each keyed service.
    unreadable
        One message for each row that could not be decoded.
    """

    targets: tuple[TargetEntry, ...] = ()
    configuration: RoutingConfiguration | None = None
    evacuated_domains: frozenset[str] = frozenset()
    leader: LeaderRecord = field(default_factory=LeaderRecord)
    domain_by_instance: dict[str, str] = field(default_factory=dict)
    map_by_service: dict[str, KeyMap] = field(default_factory=dict)
    unreadable: tuple[str, ...] = ()


def read_tables(store: RowStore, layout: StoreLayout) -> SystemTables:
    """Read all tables.

    Raises
    ------
    StoreUnavailableError
        If the store does not respond.
    """
    unreadable: list[str] = []

    def read_rows(table: str, prefix: str = "") -> Iterator[Row]:
        state = store.read_table(table)
        return (row for row in state.rows if row.key.startswith(prefix) and not row.is_dropped)

    def decode_rows(rows: Iterator[Row], decode: Callable[[Row], T]) -> Iterator[T]:
        for row in rows:
            try:
                yield decode(row)
            except (MalformedEntryError, MalformedRecordError, MalformedRowError) as error:
                unreadable.append(f"{row.key}: {error}")

    targets = sorted(
        decode_rows(read_rows(layout.target_table), layout.decode_target),
        key=lambda entry: entry.target_id,
    )
    records = list(decode_rows(read_rows(layout.operator_table), layout.decode_record))
    configurations = [record for record in records if isinstance(record, RoutingConfiguration)]
    leaders = list(
        decode_rows(
            read_rows(LEADER_TABLE, LEADER_KEY), lambda row: decode_leader(row.version, row.value)
        )
    )
    own_rows = list(read_rows(TABLE))
    instances = decode_rows(
        (row for row in own_rows if row.key.startswith(INSTANCE_PREFIX)),
        lambda row: decode_instance(row.key.removeprefix(INSTANCE_PREFIX), row.value),
    )
    maps = decode_rows(
        (row for row in own_rows if row.key.startswith(MAP_PREFIX)),
        lambda row: decode_map(row.key.removeprefix(MAP_PREFIX), row.version, row.value),
    )
    return SystemTables(
        targets=tuple(targets),
        configuration=max(configurations, key=lambda candidate: candidate.version, default=None),
        evacuated_domains=frozenset(
            record.domain for record in records if isinstance(record, Evacuation)
        ),
        leader=leaders[0] if leaders else LeaderRecord(),
        domain_by_instance={instance.name: instance.domain for instance in instances},
        map_by_service={key_map.service: key_map for key_map in maps},
        unreadable=tuple(unreadable),
    )
