"""The newest known map of each service, also after the store returned from an older copy."""

from collections.abc import Mapping
from dataclasses import replace

from damasktide.keyspace.key_map import KeyMap
from damasktide.rows.store import era_of

# Added to the last fencing token for each era since the map was written. A leader of the eras
# before may have issued tokens that the restored map does not know; it issues far fewer than this
# in one era that the copy lacks. The sum fits within 53 bits for 2^33 eras.
FENCES_PER_ERA = 1 << 20


class KnownMaps:
    """State machine of the maps that this instance has read or written.

    A map that a leader has written in the store's current era replaces every other map. The row
    of an earlier era may come from an older copy, so the map with the highest fencing token wins,
    and this instance keeps a newer map than the row has.
    """

    def __init__(self) -> None:
        self._map_by_service: dict[str, KeyMap] = {}
        self._outranked_services: set[str] = set()
        self._era: int | None = None

    @property
    def by_service(self) -> Mapping[str, KeyMap]:
        """The maps; their versions are those of the rows that a new map would replace."""
        return self._map_by_service

    @property
    def era(self) -> int:
        """Highest era of the store that was observed."""
        return self._era or 0

    @property
    def outranked_services(self) -> frozenset[str]:
        """The services whose row is older than the known map, or missing."""
        return frozenset(self._outranked_services)

    @property
    def are_current(self) -> bool:
        """Whether there are maps, and leaders have written all of them in the current era."""
        maps = self._map_by_service.values()
        return bool(maps) and not any(self.is_of_earlier_era(key_map) for key_map in maps)

    def observe_era(self, era: int) -> bool:
        """Record the era of a response; return whether the store was restored in between."""
        is_restored = self._era is not None and era > self._era
        self._era = max(era, self.era)
        return is_restored

    def observe(self, key_map: KeyMap) -> None:
        """Apply a map from its row, unless it is older than the known one."""
        known = self._map_by_service.get(key_map.service)
        if known is not None and key_map.version <= known.version:
            return
        self._outranked_services.discard(key_map.service)
        is_of_earlier_era = key_map.era < era_of(key_map.version)
        if known is not None and is_of_earlier_era and _rank(known) > _rank(key_map):
            self._outranked_services.add(key_map.service)
            key_map = replace(known, version=key_map.version)
        self._map_by_service[key_map.service] = key_map

    def record_complete_read(self, version: int) -> None:
        """Record that all rows up to ``version`` were observed; other maps have no row."""
        for service, key_map in self._map_by_service.items():
            if key_map.version and era_of(key_map.version) < era_of(version):
                self._map_by_service[service] = replace(key_map, version=0)
                self._outranked_services.add(service)

    def forget_rewrite(self, service: str) -> None:
        """Record that another instance has replaced the row of ``service``."""
        self._outranked_services.discard(service)

    def is_of_earlier_era(self, key_map: KeyMap) -> bool:
        """Return whether no leader has written the map since the store was last restored."""
        return key_map.era < self.era

    def in_current_era(self, key_map: KeyMap) -> KeyMap:
        """Return the map to write in the current era; no token was issued above its last one."""
        eras = self.era - key_map.era
        return replace(
            key_map, era=self.era, last_fence=key_map.last_fence + FENCES_PER_ERA * eras
        )


def _rank(key_map: KeyMap) -> tuple[int, int]:
    """Return a key that orders maps by age.

    Each write either issues a fencing token or settles transfers.
    """
    unsettled = sum(key_range.size for key_range in key_map.ranges if not key_range.is_settled)
    return key_map.last_fence, -unsettled
