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
        Identity, place and TCP address.
    slots
        Requests that it can run at once.
    connections
        TCP connections that it accepts.
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
    """Holds the entries and, while frozen, what is shown instead of them."""

    def __init__(self) -> None:
        self._entries: tuple[LiveEntry, ...] = ()
        self._frozen: tuple[LiveEntry, ...] | None = None

    def replace(self, entries: tuple[LiveEntry, ...]) -> None:
        """Replace the whole list."""
        self._entries = entries

    def freeze(self, frozen: bool) -> None:
        """Keep showing the present list, or show changes again."""
        if not frozen:
            self._frozen = None
        elif self._frozen is None:
            self._frozen = self._entries

    def as_json(self) -> dict[str, Any]:
        """Return what a client sees."""
        shown = self._entries if self._frozen is None else self._frozen
        return {"instances": [asdict(entry) for entry in shown]}


def parse_entries(document: Any) -> tuple[LiveEntry, ...]:
    """Return the entries of a JSON document ``{"instances": [...]}``.

    Raises
    ------
    ValueError
        If the document has another form; the message names the entry and the field.
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
