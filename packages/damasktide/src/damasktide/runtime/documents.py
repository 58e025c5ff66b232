"""YAML documents that keep source locations, and a reader that collects findings."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import yaml
from returns.result import Failure, Result, Success

from damasktide.runtime.findings import Finding, SourceLocation


@dataclass(frozen=True, slots=True)
class Node:
    """A value of a document and its location.

    Attributes
    ----------
    value
        A scalar, a dictionary from strings to :class:`Node`, or a tuple of :class:`Node`.
    location
        Location of the value in the document.
    """

    value: Any
    location: SourceLocation


def load_document(text: str, file: str) -> Result[Node, tuple[Finding, ...]]:
    """Parse YAML and keep the location of each value.

    Parameters
    ----------
    text
        The document.
    file
        Name used in findings.

    Returns
    -------
    Result[Node, tuple[Finding, ...]]
        The root node, or the findings if the text is not valid YAML or has a duplicate key.
    """
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        return Failure(
            (Finding(SourceLocation(file, line, ""), f"not valid YAML: {error.problem}"),)
        )
    if root is None:
        return Failure((Finding(SourceLocation(file, 1, ""), "the document is empty"),))
    findings: list[Finding] = []
    node = _convert(root, file, "", findings)
    return Failure(tuple(findings)) if findings else Success(node)


def _convert(raw: yaml.Node, file: str, path: str, findings: list[Finding]) -> Node:
    location = SourceLocation(file, raw.start_mark.line + 1, path)
    if isinstance(raw, yaml.MappingNode):
        return Node(_convert_mapping(raw, file, path, findings), location)
    if isinstance(raw, yaml.SequenceNode):
        items = (
            _convert(item, file, f"{path}[{index}]", findings)
            for index, item in enumerate(raw.value)
        )
        return Node(tuple(items), location)
    try:
        return Node(yaml.SafeLoader("").construct_object(raw), location)
    except (ValueError, yaml.YAMLError) as error:
        findings.append(Finding(location, f"not a valid value: {error}"))
        return Node(None, location)


def _convert_mapping(
    raw: yaml.MappingNode, file: str, path: str, findings: list[Finding]
) -> dict[str, Node]:
    node_by_key: dict[str, Node] = {}
    for raw_key, raw_value in raw.value:
        key = str(raw_key.value)
        child_path = f"{path}.{key}" if path else key
        if key in node_by_key:
            location = SourceLocation(file, raw_key.start_mark.line + 1, child_path)
            findings.append(Finding(location, "the key is given twice"))
        node_by_key[key] = _convert(raw_value, file, child_path, findings)
    return node_by_key


class Section:
    """Reads the fields of one mapping and collects findings about them.

    A missing or invalid field adds a finding and yields the default or a fallback value, so
    that reading continues and all findings are reported together.

    Parameters
    ----------
    node
        The mapping.
    findings
        List to which findings are appended; shared by all sections of a document.
    """

    def __init__(self, node: Node, findings: list[Finding]) -> None:
        self.location = node.location
        self._findings = findings
        self._read_keys: set[str] = set()
        self._node_by_key: Mapping[str, Node] = {}
        if isinstance(node.value, dict):
            self._node_by_key = node.value
        else:
            self.report(node.location, "expected a mapping")

    def report(self, location: SourceLocation, message: str) -> None:
        """Add a finding."""
        self._findings.append(Finding(location, message))

    def location_of(self, key: str) -> SourceLocation:
        """Return the location of a field, or of the section if the field is absent."""
        node = self._node_by_key.get(key)
        return node.location if node is not None else self.location

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string field; report a finding if it is absent and has no default."""
        return str(self._scalar(key, default, "", _is_text, "text"))

    def integer(
        self, key: str, default: int | None = None, low: int = 0, high: int = 2**63
    ) -> int:
        """Return an integer field from ``low`` to ``high``, both inclusive."""
        value = self._scalar(key, default, low, _is_integer, "a whole number")
        return int(self._in_range(key, value, low, high))

    def number(
        self, key: str, default: float | None = None, low: float = 0.0, high: float = 1e18
    ) -> float:
        """Return a numeric field from ``low`` to ``high``, both inclusive."""
        value = self._scalar(key, default, low, _is_number, "a number")
        return float(self._in_range(key, value, low, high))

    def flag(self, key: str, default: bool | None = None) -> bool:
        """Return a Boolean field."""
        return bool(self._scalar(key, default, False, _is_flag, "true or false"))

    def choice(self, key: str, choices: tuple[str, ...], default: str | None = None) -> str:
        """Return a string field whose value is one of ``choices``."""
        value = self.text(key, default)
        if value not in choices and key in self._node_by_key:
            self.report(self.location_of(key), f"expected one of {', '.join(choices)}")
        return value

    def texts(self, key: str, default: tuple[str, ...] | None = None) -> tuple[str, ...]:
        """Return a list of strings."""
        return tuple(node.value for node in self.text_nodes(key, default is not None)) or (
            default or ()
        )

    def text_nodes(self, key: str, optional: bool = False) -> Iterator[Node]:
        """Yield the items of a list of strings with their locations."""
        node = self._node(key, optional)
        if node is None:
            return
        if not isinstance(node.value, tuple):
            self.report(node.location, "expected a list")
            return
        for item in node.value:
            if isinstance(item.value, str):
                yield item
            else:
                self.report(item.location, "expected text")

    def section(self, key: str, optional: bool = False) -> "Section":
        """Return a mapping field as a section; empty if absent."""
        node = self._node(key, optional)
        if node is None:
            return Section(Node({}, self.location), self._findings)
        return Section(node, self._findings)

    def sections(self, key: str, optional: bool = False) -> Iterator[tuple[str, "Section"]]:
        """Yield the name and section of each entry of a mapping of mappings."""
        yield from self.section(key, optional).entries()

    def entries(self) -> Iterator[tuple[str, "Section"]]:
        """Yield the name and section of each entry of this mapping."""
        for key, node in self._node_by_key.items():
            self._read_keys.add(key)
            yield key, Section(node, self._findings)

    def field_names(self) -> tuple[str, ...]:
        """Return the names of all fields."""
        return tuple(self._node_by_key)

    def report_unknown(self) -> None:
        """Add a finding for each field that was not read."""
        for key, node in self._node_by_key.items():
            if key not in self._read_keys:
                self.report(node.location, "unknown field")

    def _node(self, key: str, optional: bool) -> Node | None:
        self._read_keys.add(key)
        node = self._node_by_key.get(key)
        if node is None and not optional:
            self.report(self.location, f"missing field {key!r}")
        return node

    def _scalar(
        self, key: str, default: Any, fallback: Any, is_valid: Callable[[Any], bool], kind: str
    ) -> Any:
        node = self._node(key, optional=default is not None)
        if node is None:
            return fallback if default is None else default
        if not is_valid(node.value):
            self.report(node.location, f"expected {kind}")
            return fallback
        return node.value

    def _in_range(self, key: str, value: float, low: float, high: float) -> float:
        if low <= value <= high:
            return value
        self.report(self.location_of(key), f"expected a value from {low} to {high}")
        return low


def _is_text(value: Any) -> bool:
    return isinstance(value, str)


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_flag(value: Any) -> bool:
    return isinstance(value, bool)
