"""Locates the end of a body with chunked encoding (RFC 9112, section 7.1)."""

from enum import Enum, auto


class _Part(Enum):
    SIZE_LINE = auto()
    DATA = auto()
    TRAILERS = auto()
    ENDED = auto()


class ChunkedBodyScanner:
    """Finds the last byte of a chunked body, which the parser of messages does not report.

    Invalid input is left to the parser: the scanner treats it as part of the body.
    """

    def __init__(self) -> None:
        self._part = _Part.SIZE_LINE
        # Digits of the current size line; in trailers, whether the line has any characters.
        self._line = b""
        self._remaining_bytes = 0

    @property
    def has_ended(self) -> bool:
        """Whether the end of the body has been found."""
        return self._part is _Part.ENDED

    def scan(self, data: bytes) -> int:
        """Return how many of the received bytes belong to the body."""
        position = 0
        while position < len(data) and self._part is not _Part.ENDED:
            if self._part is _Part.DATA:
                position = self._skip_data(data, position)
            else:
                position = self._read_line(data, position)
        return position

    def _skip_data(self, data: bytes, position: int) -> int:
        skipped = min(self._remaining_bytes, len(data) - position)
        self._remaining_bytes -= skipped
        if not self._remaining_bytes:
            self._part = _Part.SIZE_LINE
        return position + skipped

    def _read_line(self, data: bytes, position: int) -> int:
        end = data.find(b"\n", position)
        line_end = len(data) if end < 0 else end
        # A size has at most 16 digits; what follows it, or a trailer, is not kept.
        self._line += data[position : min(line_end, position + 32 - len(self._line))]
        if end < 0:
            return line_end
        line, self._line = self._line.strip(b"\r"), b""
        if self._part is _Part.SIZE_LINE:
            self._start_chunk(line)
        elif not line:
            self._part = _Part.ENDED
        return end + 1

    def _start_chunk(self, line: bytes) -> None:
        try:
            size = int(line.partition(b";")[0], 16)
        except ValueError:
            # The parser rejects the line.
            return
        if size > 0:
            # The data is followed by CR LF.
            self._part, self._remaining_bytes = _Part.DATA, size + 2
        else:
            self._part = _Part.TRAILERS
