"""Encoding of relay messages with Cap'n Proto, and compression of the replies.

A configuration with many routes has about 100 KB, and the slowest instances have links of
5 Mbit/s.
"""

import zlib
from pathlib import Path
from typing import Any

import capnp

from damasktide.relay.messages import ChangesRefused, ChangesReply, ChangesRequest, RelayedChanges
from damasktide.rows.store import Row

# The fastest level. Configurations are so repetitive that higher levels gain little.
COMPRESSION_LEVEL = 1
# Upper limit on the size of a decompressed message from a peer.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

_SCHEMA: Any = capnp.load(str(Path(__file__).with_name("messages.capnp")))


class MalformedChangesError(ValueError):
    """A message that cannot be decoded."""


def encode_changes_request(request: ChangesRequest) -> bytes:
    """Encode a request for changes."""
    message = _SCHEMA.NewsWanted.new_message(
        table=request.table,
        after=request.after,
        waitS=request.wait_s,
        maxAgeS=request.max_age_s,
        isWhole=request.is_full_read,
        knownConfirmation=request.known_confirmation,
        acceptsComplete=request.accepts_complete,
    )
    return bytes(message.to_bytes())


def decode_changes_request(data: bytes) -> ChangesRequest:
    """Decode a request for changes.

    Raises
    ------
    MalformedChangesError
        If the message cannot be decoded.
    """
    try:
        with _SCHEMA.NewsWanted.from_bytes(data) as message:
            return ChangesRequest(
                message.table,
                message.after,
                message.waitS,
                message.maxAgeS,
                message.isWhole,
                message.knownConfirmation,
                message.acceptsComplete,
            )
    except (capnp.KjException, ValueError) as error:
        raise MalformedChangesError(str(error)) from error


def encode_changes_reply(reply: ChangesReply) -> bytes:
    """Encode and compress a reply to a request for changes."""
    message = _SCHEMA.News.new_message()
    if isinstance(reply, ChangesRefused):
        message.refused = reply.reason
    else:
        _write_changes(message.init("changes"), reply)
    return zlib.compress(message.to_bytes(), COMPRESSION_LEVEL)


def decode_changes_reply(data: bytes) -> ChangesReply:
    """Decode a reply to a request for changes.

    Raises
    ------
    MalformedChangesError
        If the message cannot be decoded.
    """
    try:
        with _SCHEMA.News.from_bytes(_decompress(data)) as message:
            if str(message.which()) == "refused":
                return ChangesRefused(message.refused)
            return _read_changes(message.changes)
    except (capnp.KjException, ValueError, zlib.error) as error:
        raise MalformedChangesError(str(error)) from error


def _write_changes(changes: Any, reply: RelayedChanges) -> None:
    changes.version = reply.version
    changes.ageS = reply.age_s
    changes.confirmation = reply.confirmation
    changes.uninterruptedS = reply.uninterrupted_s
    changes.isComplete = reply.is_complete
    rows = changes.init("rows", len(reply.rows))
    for builder, row in zip(rows, reply.rows, strict=True):
        builder.key = row.key
        builder.value = row.value
        builder.version = row.version
        builder.isDropped = row.is_dropped
    confirmed = changes.init("confirmed", len(reply.age_s_by_table))
    for builder, (table, age_s) in zip(confirmed, reply.age_s_by_table.items(), strict=True):
        builder.table = table
        builder.ageS = age_s


def _read_changes(changes: Any) -> RelayedChanges:
    rows = tuple(
        Row(row.key, bytes(row.value), row.version, row.isDropped) for row in changes.rows
    )
    age_s_by_table = {confirmation.table: confirmation.ageS for confirmation in changes.confirmed}
    return RelayedChanges(
        rows,
        changes.version,
        changes.ageS,
        age_s_by_table,
        changes.confirmation,
        changes.uninterruptedS,
        changes.isComplete,
    )


def _decompress(data: bytes) -> bytes:
    decoder = zlib.decompressobj()
    decompressed = decoder.decompress(data, MAX_MESSAGE_BYTES)
    if not decoder.eof:
        raise ValueError("message truncated or larger than the limit")
    return decompressed
