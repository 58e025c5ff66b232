"""Faults of the stand-in backend server, which tests switch on over HTTP."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any, Protocol

from damasktide.runtime.registry import Registry


@dataclass(frozen=True, slots=True)
class Faults:
    """Active faults; times are seconds on the monotonic clock.

    Attributes
    ----------
    slow_factor
        Factor on the service time until ``slow_until``.
    slow_until
        Time at which ``slow_factor`` ceases to apply.
    truncations
        Number of responses still to be truncated.
    crossings
        Number of responses still to be sent with the id of another request.
    resets_before_run, resets_after_run
        Number of connections still to be reset before or after the request runs.
    lag_s
        Age of the reported load in seconds.
    cold_from, cold_until
        Start and end of the cold start.
    cold_factor
        Factor on the service time at the beginning of the cold start.
    cold_sheds
        Number of requests shed during the current cold start.
    collapse_after_sheds
        Number of requests shed during a cold start at which the server restarts.
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

    def decrement(self, field: str) -> "Faults":
        """Return the faults with the counter ``field`` decremented."""
        changes: dict[str, Any] = {field: getattr(self, field) - 1}
        return replace(self, **changes)

    def is_cold(self, now: float) -> bool:
        """Return whether a cold start is in progress."""
        return self.cold_from <= now < self.cold_until

    def warm_up_progress(self, now: float) -> float:
        """Return the progress of a cold start from 0 to 1; 1 if none is in progress."""
        if not self.is_cold(now):
            return 1.0
        return (now - self.cold_from) / (self.cold_until - self.cold_from)

    def service_time_factor(self, now: float) -> float:
        """Return the factor on the service time."""
        factor = self.slow_factor if now < self.slow_until else 1.0
        return factor * (1 + (self.cold_factor - 1) * (1 - self.warm_up_progress(now)))


class FaultableServer(Protocol):
    """Server state that fault handlers change."""

    faults: Faults

    def cold_start(self, boot_id: str, duration_s: float, factor: float, now: float) -> None:
        """Restart with a cold start of ``duration_s`` seconds."""


class FaultHandler(Protocol):
    """Switches on one fault, with the parameters of the HTTP request."""

    def __call__(self, server: FaultableServer, parameters: Mapping[str, Any], now: float) -> None:
        """Change the faults of ``server``."""


FAULTS: Registry[str, FaultHandler] = Registry("fault")


@FAULTS.register("slow")
def _slow(server: FaultableServer, parameters: Mapping[str, Any], now: float) -> None:
    until = now + float(parameters.get("for_s", 3600.0))
    server.faults = replace(
        server.faults, slow_factor=float(parameters["factor"]), slow_until=until
    )


@FAULTS.register("cold_start")
def _cold_start(server: FaultableServer, parameters: Mapping[str, Any], now: float) -> None:
    server.cold_start(
        str(parameters["boot_id"]),
        float(parameters.get("for_s", 10.0)),
        float(parameters.get("factor", 4.0)),
        now,
    )


@FAULTS.register("truncate")
def _truncate(server: FaultableServer, parameters: Mapping[str, Any], now: float) -> None:
    server.faults = replace(server.faults, truncations=int(parameters["count"]))


@FAULTS.register("cross")
def _cross(server: FaultableServer, parameters: Mapping[str, Any], now: float) -> None:
    server.faults = replace(server.faults, crossings=int(parameters["count"]))


@FAULTS.register("reset")
def _reset(server: FaultableServer, parameters: Mapping[str, Any], now: float) -> None:
    field = "resets_after_run" if parameters["ran"] else "resets_before_run"
    changes: dict[str, Any] = {field: int(parameters["count"])}
    server.faults = replace(server.faults, **changes)


@FAULTS.register("lag")
def _lag(server: FaultableServer, parameters: Mapping[str, Any], now: float) -> None:
    server.faults = replace(server.faults, lag_s=float(parameters["seconds"]))


@FAULTS.register("clear")
def _clear(server: FaultableServer, parameters: Mapping[str, Any], now: float) -> None:
    server.faults = Faults()
