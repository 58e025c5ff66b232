"""The list of live and leaving backend servers."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, fields
from typing import Any

STATES = ("live", "leaving")


@dataclass(frozen=True, slots=True)
class LiveEntry:
    """A backend server in the live list.

    Attributes
    ----------
    server_id, service, domain, region, host, port
        Identity, location and TCP address.
    slots
        Number of requests that it can run concurrently.
    connections
        Number of TCP connections that it accepts.
    state
        ``live`` or ``leaving``.
    """

    server_id: str
    service: str
    domain: str
    region: str
    host: str
    port: int
    slots: int
    connections: int
    state: str = "live"


class LiveList:
    """Holds the entries and, while frozen, the older ones that clients get in their place."""

    def __init__(self) -> None:
        self._entries: tuple[LiveEntry, ...] = ()
        self._frozen_entries: tuple[LiveEntry, ...] | None = None

    def replace(self, entries: tuple[LiveEntry, ...]) -> None:
        """Replace all entries."""
        self._entries = entries

    def freeze(self, frozen: bool) -> None:
        """Keep the list that clients get as it is now, or let them get the current one again."""
        if not frozen:
            self._frozen_entries = None
        elif self._frozen_entries is None:
            self._frozen_entries = self._entries

    def as_json(self) -> dict[str, Any]:
        """Return the JSON document that clients get."""
        visible = self._entries if self._frozen_entries is None else self._frozen_entries
        return {"instances": [asdict(entry) for entry in visible]}


def parse_entries(document: Any) -> tuple[LiveEntry, ...]:
    """Return the entries of a JSON document ``{"instances": [...]}``.

    Raises
    ------
    ValueError
        If the document is malformed; the message names the entry and the field.
    """
    if not isinstance(document, Mapping) or not isinstance(document.get("instances"), list):
        raise ValueError("expected an object with the list 'instances'")
    entries = tuple(_parse_entry(i, item) for i, item in enumerate(document["instances"]))
    if len({entry.server_id for entry in entries}) != len(entries):
        raise ValueError("a server_id occurs twice")
    return entries


def _parse_entry(index: int, item: Any) -> LiveEntry:
    try:
        entry = LiveEntry(**item)
    except TypeError as error:
        raise ValueError(f"entry {index}: {error}") from None
    for field in fields(entry):
        if type(getattr(entry, field.name)) is not field.type:
            raise ValueError(f"entry {index}: {field.name} takes a {field.type}")
    if entry.state not in STATES:
        raise ValueError(f"entry {index}: state is one of {', '.join(STATES)}")
    return entry
