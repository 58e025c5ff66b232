"""Findings of the configuration check."""

from dataclasses import dataclass
from enum import IntEnum


class Severity(IntEnum):
    """How serious a finding is, the most serious first."""

    ERROR = 0
    WARNING = 1
    INFO = 2


class PlaceKind(IntEnum):
    """Kinds of entries that a finding is about."""

    DOCUMENT = 0
    ROUTE = 1
    SERVICE = 2
    ORGANISATION = 3


@dataclass(frozen=True, slots=True)
class Place:
    """The entry that a finding is about.

    Attributes
    ----------
    kind
        Kind of the entry.
    name
        Name of the entry, or of the file for the document as a whole.
    detail
        What distinguishes entries of the same name, such as host and prefix of a route.
    """

    kind: PlaceKind
    name: str
    detail: str = ""

    def __str__(self) -> str:
        # Names may contain line breaks; `repr` keeps a finding on one line.
        text = f"{self.kind.name.lower()} {self.name!r}"
        return f"{text} ({self.detail!r})" if self.detail else text


@dataclass(frozen=True, slots=True)
class ConfigurationFinding:
    """One problem of a configuration, or one difference from another version.

    Attributes
    ----------
    severity
        How serious it is.
    place
        The entry concerned.
    text
        Description. It never contains an API key.
    is_disruptive
        Whether a difference can cause requests to be refused or served elsewhere.
    """

    severity: Severity
    place: Place
    text: str
    is_disruptive: bool = False

    def __str__(self) -> str:
        return f"{self.severity.name.lower()}: {self.place}: {self.text}"

    def as_document(self) -> dict[str, object]:
        """Return the finding for output as JSON."""
        return {
            "severity": self.severity.name.lower(),
            "kind": self.place.kind.name.lower(),
            "name": self.place.name,
            "detail": self.place.detail,
            "text": self.text,
            "is_disruptive": self.is_disruptive,
        }


def error(place: Place, text: str) -> ConfigurationFinding:
    """Return a finding of severity error."""
    return ConfigurationFinding(Severity.ERROR, place, text)


def warning(place: Place, text: str) -> ConfigurationFinding:
    """Return a finding of severity warning."""
    return ConfigurationFinding(Severity.WARNING, place, text)


def difference(place: Place, text: str, *, is_disruptive: bool) -> ConfigurationFinding:
    """Return a difference from the version in force."""
    return ConfigurationFinding(Severity.INFO, place, text, is_disruptive)
