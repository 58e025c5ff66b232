"""Chooses the one change of the map that an instance proposes next."""

from collections.abc import Iterator, Set
from dataclasses import dataclass

from damasktide.ownership.contacts import Contacts
from damasktide.ownership.moves import MoveProgress
from damasktide.ownership.placement import Placement
from damasktide.ownership.roles import Roles
from damasktide.ownership.shard_map import ShardMap
from damasktide.ownership.surroundings import Surroundings


@dataclass(frozen=True, slots=True)
class View:
    """What a proposal is based on.

    Attributes
    ----------
    shard_map
        The adopted map.
    roles
        Duties of the instances.
    controlled
        Ids of the servers whose moves this instance controls.
    surroundings
        What other tasks have published.
    now
        Monotonic time.
    """

    shard_map: ShardMap
    roles: Roles
    controlled: Set[str]
    surroundings: Surroundings
    now: float


class Proposals:
    """Proposals of one instance for one service, the most urgent first.

    Parameters
    ----------
    placement, moves, contacts
        Decisions and knowledge on which the proposals rest.
    """

    def __init__(self, placement: Placement, moves: MoveProgress, contacts: Contacts) -> None:
        self._placement = placement
        self._moves = moves
        self._contacts = contacts

    def next_map(self, view: View) -> ShardMap | None:
        """Return the next version that this instance wants, or None."""
        return next((proposed for proposed in self._by_urgency(view) if proposed), None)

    def _by_urgency(self, view: View) -> Iterator[ShardMap | None]:
        shard_map, now = view.shard_map, view.now
        # Before completion: a server that returns accepts its fence at once, and its shards
        # would move although it is there again.
        yield self._placement.returned_server_moves(
            shard_map, view.controlled, self._contacts, now
        )
        yield self._moves.completed(shard_map, view.controlled, self._contacts, now)
        yield self._placement.lost_server_moves(
            shard_map, view.controlled, self._contacts, view.surroundings, now
        )
        if view.roles.is_confirmer_manager():
            yield self._placement.changed_confirmers(shard_map, view.surroundings, now)
            if self._moves.is_settled(shard_map, now):
                yield self._moves.settled(shard_map)
        if view.roles.is_placer():
            yield self._placement.planned_moves(shard_map, self._contacts, view.surroundings, now)
