"""Logging as JSON lines."""

import contextlib
import json
import sys
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TextIO

import gevent
from loguru import logger

from damasktide.runtime.task import Task, handles

if TYPE_CHECKING:
    from loguru import Message, Record

MAX_QUEUED_LINES = 10_000
_ALWAYS_PRESENT_EXTRAS = ("request_id", "reason")


@dataclass(frozen=True, slots=True)
class WriteLine:
    """A line for the log, including its line break."""

    line: str


class LogTask(Task):
    """Owns the log stream.

    The stream is written in a thread, because a full pipe would otherwise block all greenlets.

    Parameters
    ----------
    stream
        Open text stream.
    on_dropped
        Called with the number of lines that were dropped since the previous call.
    """

    def __init__(self, stream: TextIO, on_dropped: Callable[[int], None]) -> None:
        super().__init__("log")
        self._stream = stream
        self._on_dropped = on_dropped
        self._queued_lines = 0
        self._dropped_lines = 0

    def offer(self, message: "Message") -> None:
        """Queue an event of loguru for writing; drop it if too many lines are queued."""
        if self._queued_lines >= MAX_QUEUED_LINES:
            self._dropped_lines += 1
            return
        self._queued_lines += 1
        self.tell(WriteLine(render(message.record)))

    @handles(WriteLine)
    def _write_line(self, message: WriteLine) -> None:
        self._queued_lines -= 1
        gevent.get_hub().threadpool.apply(self._write, (message.line,))
        if self._dropped_lines:
            self._on_dropped(self._dropped_lines)
            self._dropped_lines = 0

    def _write(self, line: str) -> None:
        # A closed log stream must not end the process.
        with contextlib.suppress(OSError, ValueError):
            self._stream.write(line)
            self._stream.flush()


def configure_logging(
    stream: TextIO | None = None,
    level: str = "INFO",
    on_dropped: Callable[[int], None] = lambda amount: None,
    **bound: Any,
) -> LogTask:
    """Write all events of loguru to ``stream`` as JSON lines.

    Parameters
    ----------
    stream
        Open text stream; standard error by default.
    level
        Lowest level that is written.
    on_dropped
        Called with the number of lines that were dropped since the previous call.
    bound
        Fields added to every line, such as the instance id.

    Returns
    -------
    LogTask
        The running task; its ``stop`` writes the queued lines.
    """
    task = LogTask(stream or sys.stderr, on_dropped)
    task.start()
    logger.configure(
        handlers=[
            {"sink": task.offer, "level": level, "format": "", "catch": True, "diagnose": False}
        ],
        extra=bound,
    )
    return task


def render(record: "Record") -> str:
    """Return the JSON line of an event."""
    extra = record["extra"]
    fields = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
        **{name: extra.get(name) for name in _ALWAYS_PRESENT_EXTRAS},
    }
    # Extras must not replace the standard fields.
    fields |= {name: value for name, value in extra.items() if name not in fields}
    error = record["exception"]
    if error is not None:
        lines = traceback.format_exception(error.type, error.value, error.traceback)
        fields["exception"] = "".join(lines)
    return json.dumps(fields, default=str) + "\n"
