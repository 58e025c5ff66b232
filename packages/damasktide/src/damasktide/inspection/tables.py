"""Reads the tables of the system once, without following them."""

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
    """Where the platform keeps what the system does not write itself."""

    @property
    def target_table(self) -> str:
        """Table in which targets are listed."""

    @property
    def decode_target(self) -> TargetDecoder:
        """Reads an entry of a target."""

    @property
    def operator_table(self) -> str:
        """Table in which operators write."""

    @property
    def decode_record(self) -> RecordDecoder:
        """Reads a row of the operators."""


@dataclass(frozen=True, slots=True)
class SystemTables:
    """The rows of all tables.

    Each table is complete as of the moment at which it was read; they were read one after the
    other.

    Attributes
    ----------
    targets
        Listed targets, in the order of their ids.
    configuration
        The newest configuration, or None if none can be read.
    evacuated_domains
        Failure domains whose targets get nothing.
    leader
        The lease of the leader.
    domain_by_instance
        Failure domain of each registered instance.
    map_by_service
        Who holds which keys, for each keyed service.
    unreadable
        What could not be read, one text for each row.
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
        If the store does not answer.
    """
    unreadable: list[str] = []

    def rows(table: str, prefix: str = "") -> Iterator[Row]:
        state = store.read_table(table)
        return (row for row in state.rows if row.key.startswith(prefix) and not row.is_dropped)

    def decoded(found: Iterator[Row], decode: Callable[[Row], T]) -> Iterator[T]:
        for row in found:
            try:
                yield decode(row)
            except (MalformedEntryError, MalformedRecordError, MalformedRowError) as error:
                unreadable.append(f"{row.key}: {error}")

    targets = sorted(
        decoded(rows(layout.target_table), layout.decode_target), key=lambda item: item.target_id
    )
    statements = list(decoded(rows(layout.operator_table), layout.decode_record))
    configurations = [item for item in statements if isinstance(item, RoutingConfiguration)]
    leaders = list(
        decoded(rows(LEADER_TABLE, LEADER_KEY), lambda row: decode_leader(row.version, row.value))
    )
    own = list(rows(TABLE))
    instances = decoded(
        (row for row in own if row.key.startswith(INSTANCE_PREFIX)),
        lambda row: decode_instance(row.key.removeprefix(INSTANCE_PREFIX), row.value),
    )
    maps = decoded(
        (row for row in own if row.key.startswith(MAP_PREFIX)),
        lambda row: decode_map(row.key.removeprefix(MAP_PREFIX), row.version, row.value),
    )
    return SystemTables(
        targets=tuple(targets),
        configuration=max(configurations, key=lambda item: item.version, default=None),
        evacuated_domains=frozenset(
            item.domain for item in statements if isinstance(item, Evacuation)
        ),
        leader=leaders[0] if leaders else LeaderRecord(),
        domain_by_instance={item.name: item.domain for item in instances},
        map_by_service={item.service: item for item in maps},
        unreadable=tuple(unreadable),
    )
