"""Faults that tests switch on over HTTP."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, fields, replace
from typing import Any


@dataclass(frozen=True, slots=True)
class Faults:
    """Active faults.

    Attributes
    ----------
    down
        Whether every connection is closed without a response and without any effect.
    slow_ms
        Delay of each response in milliseconds.
    drop_answers
        Number of table writes whose connection is still to be closed after the write has taken
        effect.
    live_list_frozen
        Whether ``GET /instances`` keeps returning the list as it was when this was switched on.
    """

    down: bool = False
    slow_ms: int = 0
    drop_answers: int = 0
    live_list_frozen: bool = False

    def with_changes(self, changes: Mapping[str, Any]) -> "Faults":
        """Return the faults after a partial change.

        Raises
        ------
        ValueError
            If a name is unknown or a value has the wrong type.
        """
        type_by_name = {field.name: field.type for field in fields(self)}
        for name, value in changes.items():
            if name not in type_by_name:
                raise ValueError(f"unknown fault {name!r}; known: {', '.join(type_by_name)}")
            if type(value) is not type_by_name[name]:
                raise ValueError(f"fault {name!r} takes a {type_by_name[name]}")
        return replace(self, **changes)

    def as_json(self) -> dict[str, Any]:
        """Return the faults as JSON values."""
        return asdict(self)


class FaultControl:
    """Holds the active faults of one server."""

    def __init__(self) -> None:
        self.current = Faults()

    def change(self, changes: Mapping[str, Any]) -> Faults:
        """Apply a partial change and return the resulting faults."""
        self.current = self.current.with_changes(changes)
        return self.current

    def reset(self) -> Faults:
        """Switch all faults off."""
        self.current = Faults()
        return self.current

    def consume_dropped_response(self) -> bool:
        """Return whether to drop the response to a write, and decrement the counter if so."""
        if self.current.drop_answers <= 0:
            return False
        self.current = replace(self.current, drop_answers=self.current.drop_answers - 1)
        return True
