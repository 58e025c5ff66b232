"""Encoding of load reports as records of fixed size.

Reports go to and fro twice a second for each full target. A list of Cap'n Proto structures sets
each field by a call of its own in Python; a record of fixed size is packed in one.
"""

from collections.abc import Sequence
from struct import Struct, error

from damasktide.dispatch.load_estimate import LoadReport
from damasktide.loads.messages import PeerReport

# Life, running, waiting, slots, slowdown in percent, age in milliseconds.
_RECORD = Struct("<IHHHHH")
_LARGEST = 65_535


class MalformedReportsError(ValueError):
    """A message that cannot be read."""


def encode_reports(reports: Sequence[PeerReport]) -> bytes:
    """Return the message of ``reports``."""
    return b"".join(_encode(heard.incarnation, heard.report, heard.age_s) for heard in reports)


def decode_reports(data: bytes) -> tuple[PeerReport, ...]:
    """Return the reports in ``data``.

    Raises
    ------
    MalformedReportsError
        If it cannot be read.
    """
    try:
        return tuple(
            PeerReport(
                incarnation, LoadReport(running, waiting, slots, percent / 100.0), age / 1000.0
            )
            for incarnation, running, waiting, slots, percent, age in _RECORD.iter_unpack(data)
        )
    except error as cause:
        raise MalformedReportsError(str(cause)) from cause


def _encode(incarnation: int, report: LoadReport, age_s: float) -> bytes:
    return _RECORD.pack(
        incarnation,
        _bounded(report.running),
        _bounded(report.waiting),
        _bounded(report.slots),
        _bounded(100.0 * report.slowdown),
        _bounded(1000.0 * age_s),
    )


def _bounded(value: float) -> int:
    return min(_LARGEST, max(0, round(value)))
