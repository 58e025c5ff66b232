"""Output formats of the reports."""

import json
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from damasktide.runtime.registry import Registry

Document = dict[str, Any]
Format = Callable[[Document], str]

formats: Registry[str, Format] = Registry("output format")


@formats.register("json")
def render_json(document: Document) -> str:
    """Return the document as indented JSON."""
    return json.dumps(document, indent=2, ensure_ascii=False)


@formats.register("table")
def render_table(document: Document) -> str:
    """Return the scalar fields, one per line, then each list of objects as a table."""
    scalars = {key: value for key, value in document.items() if not _is_table(value)}
    lines = list(_align([[key, _cell(value)] for key, value in scalars.items()]))
    for key, value in document.items():
        if _is_table(value):
            columns = list(value[0])
            rows = [[_cell(row[column]) for column in columns] for row in value]
            lines.extend(["", key, *_align([columns, *rows])])
    return "\n".join(lines)


def _is_table(value: object) -> bool:
    return (
        isinstance(value, list) and bool(value) and all(isinstance(item, dict) for item in value)
    )


def _cell(value: object) -> str:
    if value is None or value in ("", [], ()):
        return "-"
    if isinstance(value, list | tuple):
        return ", ".join(str(item) for item in value)
    return json.dumps(value) if isinstance(value, dict | bool) else str(value)


def _align(rows: Sequence[Sequence[str]]) -> Iterator[str]:
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  ".join(cells).rstrip()
