"""Runs all configuration checks."""

from collections.abc import Iterable, Iterator

# Importing the modules of the checks registers them.
from damasktide.configuration_check import differences, entries, limits  # noqa: F401
from damasktide.configuration_check.findings import ConfigurationFinding
from damasktide.configuration_check.registry import configuration_checks
from damasktide.configuration_check.subject import CheckSubject


def check_configuration(subject: CheckSubject) -> list[ConfigurationFinding]:
    """Return all findings, the most important first."""
    return by_importance(_findings(subject))


def by_importance(findings: Iterable[ConfigurationFinding]) -> list[ConfigurationFinding]:
    """Return findings by severity; among differences, those that affect requests come first."""
    return sorted(findings, key=lambda finding: (finding.severity, not finding.is_disruptive))


def _findings(subject: CheckSubject) -> Iterator[ConfigurationFinding]:
    for name in configuration_checks:
        yield from configuration_checks.get(name)(subject)
