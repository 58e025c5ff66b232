"""Encoding of the messages of this slice with Cap'n Proto, compressed.

A configuration with many routes has some 100 KB, and instances have links of 5 Mbit/s and more.
"""

import zlib
from pathlib import Path
from typing import Any

import capnp

from damasktide.relay.messages import ChangesRefused, ChangesRequest, News, RelayedChanges
from damasktide.rows.store import Row

# The fastest level: a configuration repeats itself so much that more effort buys little.
COMPRESSION_LEVEL = 1
# Bound on what a peer's message may grow to.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

_SCHEMA: Any = capnp.load(str(Path(__file__).with_name("messages.capnp")))


class MalformedChangesError(ValueError):
    """A message that cannot be read."""


def encode_changes_request(wanted: ChangesRequest) -> bytes:
    """Return the message of ``wanted``."""
    message = _SCHEMA.NewsWanted.new_message(
        table=wanted.table,
        after=wanted.after,
        waitS=wanted.wait_s,
        maxAgeS=wanted.max_age_s,
        isWhole=wanted.is_whole,
    )
    return bytes(message.to_bytes())


def decode_changes_request(data: bytes) -> ChangesRequest:
    """Return the question in ``data``.

    Raises
    ------
    MalformedChangesError
        If it cannot be read.
    """
    try:
        with _SCHEMA.NewsWanted.from_bytes(data) as message:
            return ChangesRequest(
                message.table, message.after, message.waitS, message.maxAgeS, message.isWhole
            )
    except (capnp.KjException, ValueError) as error:
        raise MalformedChangesError(str(error)) from error


def encode_changes_reply(news: News) -> bytes:
    """Return the message of ``news``."""
    message = _SCHEMA.News.new_message()
    if isinstance(news, ChangesRefused):
        message.refused = news.reason
    else:
        _fill(message.init("changes"), news)
    return zlib.compress(message.to_bytes(), COMPRESSION_LEVEL)


def decode_changes_reply(data: bytes) -> News:
    """Return the answer in ``data``.

    Raises
    ------
    MalformedChangesError
        If it cannot be read.
    """
    try:
        with _SCHEMA.News.from_bytes(_decompressed(data)) as message:
            if str(message.which()) == "refused":
                return ChangesRefused(message.refused)
            return _changes(message.changes)
    except (capnp.KjException, ValueError, zlib.error) as error:
        raise MalformedChangesError(str(error)) from error


def _fill(changes: Any, news: RelayedChanges) -> None:
    changes.version = news.version
    changes.ageS = news.age_s
    rows = changes.init("rows", len(news.rows))
    for target, row in zip(rows, news.rows, strict=True):
        target.key = row.key
        target.value = row.value
        target.version = row.version
        target.isDropped = row.is_dropped


def _changes(changes: Any) -> RelayedChanges:
    rows = tuple(
        Row(row.key, bytes(row.value), row.version, row.isDropped) for row in changes.rows
    )
    return RelayedChanges(rows, changes.version, changes.ageS)


def _decompressed(data: bytes) -> bytes:
    decoder = zlib.decompressobj()
    found = decoder.decompress(data, MAX_MESSAGE_BYTES)
    if not decoder.eof:
        raise ValueError("the message is too long or cut short")
    return found
