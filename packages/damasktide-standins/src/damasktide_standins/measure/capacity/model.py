"""The design size and the lines fitted to measurements."""

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
    """Size of the deployment to compute costs for.

    Attributes
    ----------
    entry_instances
        Number of nodes that are entry instances; the others are backend servers.
    nodes, services, shards, domains
        Design size from docs/design.md; ``shards`` is per service.
    requests_per_s
        Requests per second of all callers.
    """

    entry_instances: int
    nodes: int = 760
    services: int = 2
    shards: int = 8192
    domains: int = 6
    requests_per_s: float = 9.4e6

    @property
    def servers(self) -> int:
        """Number of backend servers of all services."""
        return self.nodes - self.entry_instances

    @property
    def servers_per_service(self) -> float:
        """Mean number of backend servers per service."""
        return self.servers / self.services

    @property
    def grants_per_s(self) -> float:
        """Grants and queries per second that one instance sends."""
        return self.servers * RENEWERS_PER_SERVER / self.entry_instances * TICKS_PER_S

    @property
    def readers(self) -> int:
        """Number of readers of all services; an instance may be a reader of several services."""
        return READERS_PER_DOMAIN * self.domains * self.services


@dataclass(frozen=True, slots=True)
class Measurements:
    """Fitted lines and measured points by the name of the benchmark.

    Attributes
    ----------
    line_by_name, points_by_name
        From the JSON files of ``measure.slopes``; later files override earlier ones.
    """

    line_by_name: Mapping[str, Line]
    points_by_name: Mapping[str, Sequence[tuple[float, float]]]

    def at(self, name: str, size: float) -> float:
        """Return the value of a benchmark's line at a size."""
        return self.line_by_name[name].at(size)

    def interpolate(self, name: str, size: float) -> float:
        """Return the value at a size by interpolation between the measured points.

        Raises
        ------
        ValueError
            If the size is outside of the measured range.
        """
        points = sorted(self.points_by_name[name])
        for (low, low_value), (high, high_value) in pairwise(points):
            if low <= size <= high:
                return low_value + (high_value - low_value) * (size - low) / (high - low)
        raise ValueError(f"{name}: size {size} is outside of the measured range")


def read_measurements(paths: Sequence[Path]) -> Measurements:
    """Read the JSON files of ``measure.slopes``."""
    line_by_name = {}
    points_by_name = {}
    for path in paths:
        for raw in json.loads(path.read_text())["parts"]:
            line_by_name[raw["name"]] = Line(**raw["line"])
            points_by_name[raw["name"]] = [(size, value) for size, value in raw["points"]]
    return Measurements(line_by_name, points_by_name)
