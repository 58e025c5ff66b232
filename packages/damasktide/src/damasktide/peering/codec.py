"""Cap'n Proto encoding of the frames that instances exchange."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from damasktide.runtime.registry import Registry

MAX_BODY_BYTES = 2 * 1024 * 1024
MAX_KIND_CHARS = 64
# The largest body, plus room for the other fields and the encoding.
MAX_FRAME_BYTES = MAX_BODY_BYTES + 4096

_SCHEMA: Any = capnp.load(str(Path(__file__).with_name("messages.capnp")))


@dataclass(frozen=True, slots=True)
class PeerHello:
    """First frame of each direction of a link.

    Attributes
    ----------
    sender_id
        Id of the sending instance, including its incarnation.
    nonce
        Random bytes that make the link unique, which prevents replay.
    """

    sender_id: str
    nonce: bytes


@dataclass(frozen=True, slots=True)
class PeerCall:
    """A call from the instance that opened the link.

    Attributes
    ----------
    call_id
        Number that the reply repeats; unique within the link.
    kind
        Name under which the handler is registered.
    body
        Encoded request, in the format of the handler.
    """

    call_id: int
    kind: str
    body: bytes


@dataclass(frozen=True, slots=True)
class PeerReply:
    """The reply to a call.

    Attributes
    ----------
    call_id
        Number of the call.
    body
        Encoded reply of the handler; empty after an error.
    error
        Reason for which the call failed, or None.
    """

    call_id: int
    body: bytes
    error: str | None = None


PeerFrame = PeerHello | PeerCall | PeerReply


class FrameError(Exception):
    """A frame that cannot be decoded."""


_DECODERS: Registry[str, Callable[[Any], PeerFrame]] = Registry("frame")


def encode_frame(frame: PeerFrame) -> bytes:
    """Return the encoded ``frame``."""
    message = _SCHEMA.Frame.new_message()
    # Setting fields one by one takes a tenth of the time of building from dictionaries.
    if isinstance(frame, PeerHello):
        hello = message.init("hello")
        hello.senderId = frame.sender_id
        hello.nonce = frame.nonce
    elif isinstance(frame, PeerCall):
        call = message.init("call")
        call.callId = frame.call_id
        call.kind = frame.kind
        call.body = frame.body
    else:
        _fill_reply(message.init("reply"), frame)
    return bytes(message.to_bytes())


def _fill_reply(reply: Any, frame: PeerReply) -> None:
    reply.callId = frame.call_id
    if frame.error is None:
        reply.body = frame.body
    else:
        reply.error = frame.error


def decode_frame(payload: bytes) -> PeerFrame:
    """Return the frame encoded in ``payload``.

    Raises
    ------
    FrameError
        If the payload does not match the schema.
    """
    try:
        with _SCHEMA.Frame.from_bytes(payload) as message:
            return _DECODERS.get(str(message.which()))(message)
    except (capnp.KjException, ValueError, KeyError) as error:
        raise FrameError(f"frame cannot be decoded: {error}") from error


@_DECODERS.register("hello")
def _decode_hello(message: Any) -> PeerHello:
    return PeerHello(message.hello.senderId, bytes(message.hello.nonce))


@_DECODERS.register("call")
def _decode_call(message: Any) -> PeerCall:
    call = message.call
    return PeerCall(call.callId, call.kind, bytes(call.body))


@_DECODERS.register("reply")
def _decode_reply(message: Any) -> PeerReply:
    reply = message.reply
    if str(reply.which()) == "error":
        return PeerReply(reply.callId, b"", reply.error)
    return PeerReply(reply.callId, bytes(reply.body))
