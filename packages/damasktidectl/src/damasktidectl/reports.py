"""Reports of commands: a document and an exit code."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from damasktide.catalog.changes import Applied, ApplyError, ApplyErrorKind, Change
from damasktide.runtime.findings import Finding


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    DONE = 0
    REFUSED = 1
    FINDINGS = 2
    STORE_NOT_REACHABLE = 3


@dataclass(frozen=True, slots=True)
class Report:
    """The result of a command.

    Attributes
    ----------
    document
        JSON values; lists of objects are shown as tables.
    exit_code
        Exit code of the process.
    """

    document: dict[str, Any]
    exit_code: ExitCode = ExitCode.DONE


_EXIT_CODE_BY_KIND = {
    ApplyErrorKind.CONFLICT: ExitCode.REFUSED,
    ApplyErrorKind.REFUSED: ExitCode.REFUSED,
    ApplyErrorKind.HISTORY_EXCEEDED: ExitCode.REFUSED,
    ApplyErrorKind.UNAVAILABLE: ExitCode.STORE_NOT_REACHABLE,
    ApplyErrorKind.UNRESOLVED: ExitCode.STORE_NOT_REACHABLE,
}


def report_findings(findings: Iterable[Finding]) -> Report:
    """Report all findings of an input."""
    rows = [
        {
            "file": finding.location.file,
            "line": finding.location.line,
            "path": finding.location.path,
            "message": finding.message,
        }
        for finding in sorted(findings)
    ]
    return Report({"result": "findings", "findings": rows}, ExitCode.FINDINGS)


def report_applied(change: Change, applied: Applied) -> Report:
    """Report a change that is stored durably."""
    document = {
        "result": "applied" if applied.changed else "unchanged",
        "version": applied.version,
        "based_on": applied.based_on,
        "author": change.author,
        "change_id": change.change_id,
    }
    return Report(document)


def report_error(error: ApplyError, change: Change | None = None) -> Report:
    """Report a failure; if it is unresolved, explain how to repeat the change safely."""
    document: dict[str, Any] = {"result": error.kind.value, "detail": error.detail}
    if error.based_on is not None:
        document["based_on"] = error.based_on
    if error.current is not None:
        document["other_author"] = error.current.author
        document["other_version"] = error.current.version
    if error.kind is ApplyErrorKind.UNRESOLVED and change is not None:
        based_on = change.based_on if error.based_on is None else error.based_on
        options = f"--based-on {based_on} --change-id {change.change_id}"
        document["repeat"] = f"repeat the command with {options}; it never applies twice"
    return Report(document, _EXIT_CODE_BY_KIND[error.kind])
