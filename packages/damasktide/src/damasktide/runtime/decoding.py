"""Bounded decoding of JSON that other programs write."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


class MalformedDataError(ValueError):
    """Data that is not valid, or that exceeds a limit."""


def json_decoder(record_type: type[T], max_bytes: int) -> Callable[[bytes], T]:
    """Return a function that decodes JSON into ``record_type``.

    Parameters
    ----------
    record_type
        Type of the result, such as a data class. ``msgspec.Meta`` annotations of its fields limit
        numbers and texts; fields of the data that it does not have are ignored.
    max_bytes
        Largest size of the data in bytes.

    Returns
    -------
    Callable[[bytes], T]
        The decoder. It raises :class:`MalformedDataError` for data that is too large, too deeply
        nested, not JSON, or not of the type.
    """
    decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(record_type)

    def decode(data: bytes) -> T:
        if len(data) > max_bytes:
            raise MalformedDataError(f"{len(data)} bytes are more than {max_bytes}")
        try:
            decoded: T = decoder.decode(data)
        except RecursionError as error:
            raise MalformedDataError("the data is too deeply nested") from error
        except (ValueError, OverflowError) as error:
            # All errors of msgspec are instances of ValueError.
            raise MalformedDataError(str(error)) from error
        return decoded

    return decode
