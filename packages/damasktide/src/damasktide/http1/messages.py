"""HTTP/1.1 message heads, kept as the bytes that were received, and the encoding of messages."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

HeaderFields = tuple[tuple[bytes, bytes], ...]

# Hop-by-hop fields (RFC 9110, section 7.6.1) and fields that describe the framing of a message.
_HOP_BY_HOP_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request.

    Attributes
    ----------
    method
        Method, such as ``b"GET"``.
    target
        Request target as received: path and query, not decoded.
    headers
        Header fields in the order and spelling in which they were received.
    keeps_alive
        Whether the sender allows the connection to be reused.
    has_body
        Whether a body follows.
    """

    method: bytes
    target: bytes
    headers: HeaderFields
    keeps_alive: bool = True
    has_body: bool = False

    def field(self, name: bytes) -> bytes | None:
        """Return the first value of the field with the lower-case ``name``."""
        return first_field(self.headers, name)


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Head of a response.

    Attributes
    ----------
    status
        Status code.
    reason
        Reason phrase.
    headers
        Header fields in the order and spelling in which they were received.
    keeps_alive
        Whether the sender allows the connection to be reused.
    content_length
        Length of the body in bytes, or None if the framing does not state it.
    ends_with_connection
        Whether the end of the connection marks the end of the body.
    """

    status: int
    reason: bytes
    headers: HeaderFields
    keeps_alive: bool = True
    content_length: int | None = None
    ends_with_connection: bool = False

    def field(self, name: bytes) -> bytes | None:
        """Return the first value of the field with the lower-case ``name``."""
        return first_field(self.headers, name)


def first_field(headers: HeaderFields, name: bytes) -> bytes | None:
    """Return the first value of the field with the lower-case ``name``, or None."""
    return next((value for key, value in headers if key.lower() == name), None)


def end_to_end_fields(headers: HeaderFields) -> Iterator[tuple[bytes, bytes]]:
    """Yield the fields that a gateway forwards."""
    connection_value = first_field(headers, b"connection") or b""
    connection_options = {option.strip().lower() for option in connection_value.split(b",")}
    for key, value in headers:
        lower_key = key.lower()
        if lower_key not in _HOP_BY_HOP_FIELDS and lower_key not in connection_options:
            yield key, value


def response_head(
    status: int, reason: bytes, headers: HeaderFields, keeps_alive: bool, method: bytes
) -> ResponseHead:
    """Return the head of a response to ``method``, with the framing of its body.

    See RFC 9112, section 6.3.
    """
    length = first_field(headers, b"content-length")
    is_chunked = first_field(headers, b"transfer-encoding") is not None
    has_no_body = method == b"HEAD" or status < 200 or status in _STATUSES_WITHOUT_BODY
    if has_no_body:
        return ResponseHead(status, reason, headers, keeps_alive, 0)
    if is_chunked:
        return ResponseHead(status, reason, headers, keeps_alive)
    if length is not None:
        return ResponseHead(status, reason, headers, keeps_alive, int(length))
    return ResponseHead(status, reason, headers, False, None, ends_with_connection=True)


def contains_status_line(texts: Iterable[bytes]) -> bool:
    """Return whether the reason phrase or a field value of a response contains a status line.

    A server that sends a part of a second copy of a response late, and then the next response,
    produces such a head: the status is that of the copy, the fields are those of the response.
    """
    return any(b"HTTP/" in text and _STATUS_LINE.search(text) for text in texts)


def encode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes | None
) -> bytes:
    """Return the bytes of a request; ``body`` is its complete body, or None."""
    return _encode(method + b" " + target + b" HTTP/1.1\r\n", headers, body)


def encode_response(
    status: int, reason: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes | None
) -> bytes:
    """Return the bytes of a response head, followed by ``body`` if the complete body is given."""
    return _encode(b"HTTP/1.1 %d %s\r\n" % (status, reason), headers, body)


def _encode(start: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes | None) -> bytes:
    parts = [start]
    for key, value in headers:
        parts += (key, b": ", value, b"\r\n")
    if body is not None:
        parts.append(b"Content-Length: %d\r\n" % len(body))
    parts.append(b"\r\n")
    if body:
        parts.append(body)
    return b"".join(parts)


def encode_chunk(data: bytes) -> bytes:
    """Return ``data`` as one chunk of a chunked body; empty ``data`` ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
