"""Encoding of load reports as fixed-size records.

The reports of each full target are exchanged twice per second. Cap'n Proto would need one Python
call for each field of each list element; a fixed-size record is packed in a single call.
"""

from collections.abc import Sequence
from struct import Struct, error

from damasktide.dispatch.load_estimate import LoadReport
from damasktide.loads.messages import PeerReport

# Incarnation hash, running, waiting, slots, slowdown in percent, age in milliseconds.
_RECORD = Struct("<IHHHHH")
_MAX_UINT16 = 65_535


class MalformedReportsError(ValueError):
    """A message that cannot be decoded."""


def encode_reports(reports: Sequence[PeerReport]) -> bytes:
    """Encode load reports."""
    return b"".join(
        _encode(peer_report.incarnation, peer_report.report, peer_report.age_s)
        for peer_report in reports
    )


def decode_reports(data: bytes) -> tuple[PeerReport, ...]:
    """Decode load reports.

    Raises
    ------
    MalformedReportsError
        If the message cannot be decoded.
    """
    try:
        return tuple(
            PeerReport(
                incarnation, LoadReport(running, waiting, slots, percent / 100.0), age_ms / 1000.0
            )
            for incarnation, running, waiting, slots, percent, age_ms in _RECORD.iter_unpack(data)
        )
    except error as cause:
        raise MalformedReportsError(str(cause)) from cause


def _encode(incarnation: int, report: LoadReport, age_s: float) -> bytes:
    return _RECORD.pack(
        incarnation,
        _clamp_uint16(report.running),
        _clamp_uint16(report.waiting),
        _clamp_uint16(report.slots),
        _clamp_uint16(100.0 * report.slowdown),
        _clamp_uint16(1000.0 * age_s),
    )


def _clamp_uint16(value: float) -> int:
    return min(_MAX_UINT16, max(0, round(value)))
