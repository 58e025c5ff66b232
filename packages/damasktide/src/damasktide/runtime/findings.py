"""Findings: problems in an input, collected with their locations and reported together."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class SourceLocation:
    """A position in a document.

    Attributes
    ----------
    file
        Name of the file.
    line
        Line number, starting at 1.
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
    """One problem in an input.

    Attributes
    ----------
    location
        Location of the problem.
    message
        Description of the problem and of what is expected.
    """

    location: SourceLocation
    message: str

    def __str__(self) -> str:
        return f"{self.location}: {self.message}"


def render_findings(findings: Iterable[Finding]) -> str:
    """Return the findings sorted by location, one per line."""
    return "\n".join(str(finding) for finding in sorted(findings))
