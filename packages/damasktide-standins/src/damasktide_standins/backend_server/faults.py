"""Faults of the stand-in that tests switch on over HTTP."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any, Protocol

from damasktide.runtime.registry import Registry


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults that are switched on; times are seconds on the monotonic clock.

    Attributes
    ----------
    slow_factor
        Factor on the service time until ``slow_until``.
    slow_until
        Time at which the slowness ends.
    truncations
        Responses still to be cut short.
    crossings
        Responses that still will name another request.
    resets_before_run, resets_after_run
        Connections still to be reset after the request was read.
    lag_s
        Age of the load report in seconds.
    cold_from, cold_until
        Start and end of the cold start.
    cold_factor
        Factor on the service time at the beginning of the cold start.
    cold_sheds
        Requests shed during the present cold start.
    collapse_after_sheds
        Sheds during a cold start after which the server boots again.
    """

    slow_factor: float = 1.0
    slow_until: float = 0.0
    truncations: int = 0
    crossings: int = 0
    resets_before_run: int = 0
    resets_after_run: int = 0
    lag_s: float = 0.0
    cold_from: float = 0.0
    cold_until: float = 0.0
    cold_factor: float = 1.0
    cold_sheds: int = 0
    collapse_after_sheds: int = 12

    def spend(self, field: str) -> "Faults":
        """Return the faults with one less in a counted field."""
        changes: dict[str, Any] = {field: getattr(self, field) - 1}
        return replace(self, **changes)

    def is_cold(self, now: float) -> bool:
        """Return whether a cold start is in progress."""
        return self.cold_from <= now < self.cold_until

    def warmth(self, now: float) -> float:
        """Return how far a cold start has come, from 0 to 1."""
        if not self.is_cold(now):
            return 1.0
        return (now - self.cold_from) / (self.cold_until - self.cold_from)

    def slowness(self, now: float) -> float:
        """Return the factor on the service time."""
        factor = self.slow_factor if now < self.slow_until else 1.0
        return factor * (1 + (self.cold_factor - 1) * (1 - self.warmth(now)))


class Faulty(Protocol):
    """What a fault acts on."""

    faults: Faults

    def cold_start(self, boot_id: str, seconds: float, factor: float, now: float) -> None:
        """Boot again."""


class FaultHandler(Protocol):
    """Switches one fault on, with parameters from the request."""

    def __call__(self, server: Faulty, parameters: Mapping[str, Any], now: float) -> None:
        """Change the faults of ``server``."""


FAULTS: Registry[str, FaultHandler] = Registry("fault")


@FAULTS.register("slow")
def _slow(server: Faulty, parameters: Mapping[str, Any], now: float) -> None:
    until = now + float(parameters.get("for_s", 3600.0))
    server.faults = replace(
        server.faults, slow_factor=float(parameters["factor"]), slow_until=until
    )


@FAULTS.register("cold_start")
def _cold_start(server: Faulty, parameters: Mapping[str, Any], now: float) -> None:
    server.cold_start(
        str(parameters["boot_id"]),
        float(parameters.get("for_s", 10.0)),
        float(parameters.get("factor", 4.0)),
        now,
    )


@FAULTS.register("truncate")
def _truncate(server: Faulty, parameters: Mapping[str, Any], now: float) -> None:
    server.faults = replace(server.faults, truncations=int(parameters["count"]))


@FAULTS.register("cross")
def _cross(server: Faulty, parameters: Mapping[str, Any], now: float) -> None:
    server.faults = replace(server.faults, crossings=int(parameters["count"]))


@FAULTS.register("reset")
def _reset(server: Faulty, parameters: Mapping[str, Any], now: float) -> None:
    field = "resets_after_run" if parameters["ran"] else "resets_before_run"
    changes: dict[str, Any] = {field: int(parameters["count"])}
    server.faults = replace(server.faults, **changes)


@FAULTS.register("lag")
def _lag(server: Faulty, parameters: Mapping[str, Any], now: float) -> None:
    server.faults = replace(server.faults, lag_s=float(parameters["seconds"]))


@FAULTS.register("clear")
def _clear(server: Faulty, parameters: Mapping[str, Any], now: float) -> None:
    server.faults = Faults()
