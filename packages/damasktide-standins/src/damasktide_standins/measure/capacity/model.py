"""The design size and the measured lines."""

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path

from damasktide.ownership.constants import RENEW_INTERVAL_S
from damasktide.ownership.roles import READERS_PER_DOMAIN, RENEWERS_PER_SERVER
from damasktide_standins.measure.fit import Line

TICKS_PER_S = 1 / RENEW_INTERVAL_S


@dataclass(frozen=True, slots=True)
class Size:
    """The size to compute for.

    Attributes
    ----------
    entry_instances
        Nodes that are entry instances; the others are backend servers.
    nodes, services, shards, domains
        Sizes of the design page; shards for each service.
    requests_per_s
        Requests of all callers.
    """

    entry_instances: int
    nodes: int = 760
    services: int = 2
    shards: int = 8192
    domains: int = 6
    requests_per_s: float = 9.4e6

    @property
    def servers(self) -> int:
        """Backend servers of all services."""
        return self.nodes - self.entry_instances

    @property
    def servers_per_service(self) -> float:
        """Backend servers of one service."""
        return self.servers / self.services

    @property
    def grants_per_s(self) -> float:
        """Grants and queries that one instance sends a second."""
        return self.servers * RENEWERS_PER_SERVER / self.entry_instances * TICKS_PER_S

    @property
    def readers(self) -> int:
        """Readers of all services; each instance may be one for several services."""
        return READERS_PER_DOMAIN * self.domains * self.services


@dataclass(frozen=True, slots=True)
class Measured:
    """Measured lines and points by the name of the part.

    Attributes
    ----------
    line_by_name, points_by_name
        From the JSON of ``measure.slopes``; later files replace earlier ones.
    """

    line_by_name: Mapping[str, Line]
    points_by_name: Mapping[str, Sequence[tuple[float, float]]]

    def at(self, name: str, size: float) -> float:
        """Return the line of a part at a size."""
        return self.line_by_name[name].at(size)

    def between(self, name: str, size: float) -> float:
        """Return the value between the nearest measured points of a part."""
        points = sorted(self.points_by_name[name])
        for (low, first), (high, last) in pairwise(points):
            if low <= size <= high:
                return first + (last - first) * (size - low) / (high - low)
        raise ValueError(f"{name}: {size} is outside of the measured sizes")


def read_measured(paths: Sequence[Path]) -> Measured:
    """Read the JSON files of ``measure.slopes``."""
    line_by_name = {}
    points_by_name = {}
    for path in paths:
        for raw in json.loads(path.read_text())["parts"]:
            line_by_name[raw["name"]] = Line(**raw["line"])
            points_by_name[raw["name"]] = [(size, value) for size, value in raw["points"]]
    return Measured(line_by_name, points_by_name)
