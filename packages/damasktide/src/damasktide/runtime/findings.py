"""Findings: problems of an input, collected with their place and reported together."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class SourceLocation:
    """Where in a document something stands.

    Attributes
    ----------
    file
        Name of the file.
    line
        Line, counted from 1.
    path
        Dotted path of the field, such as ``plans.basic.regions``.
    """

    file: str
    line: int
    path: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.path}" if self.path else f"{self.file}:{self.line}"


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One problem of an input.

    Attributes
    ----------
    place
        Where it was found.
    message
        What is wrong and what is expected.
    """

    place: SourceLocation
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


def render_findings(findings: Iterable[Finding]) -> str:
    """Return the findings sorted by place, one a line."""
    return "\n".join(str(finding) for finding in sorted(findings))
