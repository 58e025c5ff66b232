"""Registry of the configuration checks."""

from collections.abc import Callable, Iterator

from damasktide.configuration_check.findings import ConfigurationFinding
from damasktide.configuration_check.subject import CheckSubject
from damasktide.runtime.registry import Registry

ConfigurationCheck = Callable[[CheckSubject], Iterator[ConfigurationFinding]]

# Findings of equal importance are reported in the order of registration.
configuration_checks: Registry[str, ConfigurationCheck] = Registry("configuration check")
