"""Length-prefixed, authenticated frames on a connected socket."""

import struct
from contextlib import suppress
from typing import Any

from gevent import socket

from damasktide.peering.authentication import (
    MAC_BYTES,
    NONCE_BYTES,
    Direction,
    FrameAuthenticator,
    LinkContext,
    new_nonce,
)
from damasktide.peering.codec import (
    MAX_FRAME_BYTES,
    FrameError,
    PeerFrame,
    PeerHello,
    decode_frame,
    encode_frame,
)

HANDSHAKE_TIMEOUT_S = 2.0
MAX_HELLO_BYTES = 1024
# The kernel gives up a connection whose peer acknowledges nothing for this long; otherwise
# calls into a network partition would wait on a dead link for many minutes.
UNACKNOWLEDGED_TIMEOUT_MS = 2000

_HEADER = struct.Struct(f">I{MAC_BYTES}s")


class LinkError(Exception):
    """A link that broke the protocol or was lost."""


class PeerStream:
    """Sends and receives frames; any frame that is not authentic is an error.

    Parameters
    ----------
    sock
        Connected socket; the stream owns it.
    key
        Key that all instances share.
    outgoing
        Direction of the frames sent by this end.
    """

    def __init__(self, sock: Any, key: bytes, outgoing: Direction) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        sock.settimeout(HANDSHAKE_TIMEOUT_S)
        self._socket = sock
        self._file = sock.makefile("rb")
        self._key = key
        self._outgoing = outgoing
        self._incoming = outgoing.opposite
        self._authenticator = FrameAuthenticator(key, LinkContext())
        self._sent = 0
        self._received = 0
        self._limit = MAX_HELLO_BYTES

    def handshake_as_client(self, own_id: str) -> str:
        """Exchange hellos and return the id of the server."""
        hello = PeerHello(own_id, new_nonce())
        self.send(hello)
        self._use(LinkContext(client_id=own_id, client_nonce=hello.nonce))
        answer = self._receive_hello()
        self._use(LinkContext(own_id, answer.sender_id, hello.nonce, answer.nonce))
        self._limit = MAX_FRAME_BYTES
        return answer.sender_id

    def handshake_as_server(self, own_id: str) -> str:
        """Exchange hellos and return the id of the client.

        A replayed hello gets this far, but its sender cannot make the code of a next frame
        because it covers the nonce of this end.
        """
        hello = self._receive_hello()
        self._use(LinkContext(client_id=hello.sender_id, client_nonce=hello.nonce))
        answer = PeerHello(own_id, new_nonce())
        self.send(answer)
        self._use(LinkContext(hello.sender_id, own_id, hello.nonce, answer.nonce))
        self._limit = MAX_FRAME_BYTES
        return hello.sender_id

    def set_timeout(self, timeout_s: float | None) -> None:
        """Set how long one read or write may wait; None for no limit."""
        self._socket.settimeout(timeout_s)

    def send(self, frame: PeerFrame) -> None:
        """Write ``frame``; only one greenlet may send."""
        payload = encode_frame(frame)
        code = self._authenticator.code(self._outgoing, self._sent, payload)
        self._sent += 1
        self._socket.sendall(_HEADER.pack(len(payload), code) + payload)

    def receive(self) -> PeerFrame | None:
        """Return the next frame, or None if the peer closed the link between frames.

        Raises
        ------
        LinkError
            If the frame is too long, cut short, not authentic or cannot be decoded.
        """
        header = self._file.read(_HEADER.size)
        if not header:
            return None
        payload, code = self._read_payload(header)
        sequence = self._received
        self._received += 1
        if not self._authenticator.is_authentic(self._incoming, sequence, payload, code):
            raise LinkError("a frame is not authentic")
        try:
            return decode_frame(payload)
        except FrameError as error:
            raise LinkError(str(error)) from error

    def close(self) -> None:
        """Close the socket and wake a greenlet that reads from it."""
        with suppress(OSError):  # The peer may have closed the connection already.
            self._socket.shutdown(socket.SHUT_RDWR)
        self._file.close()
        self._socket.close()

    def _read_payload(self, header: bytes) -> tuple[bytes, bytes]:
        if len(header) < _HEADER.size:
            raise LinkError("the link was cut inside a frame")
        length, code = _HEADER.unpack(header)
        if length > self._limit:
            raise LinkError(f"a frame of {length} bytes is longer than {self._limit}")
        payload = self._file.read(length)
        if len(payload) < length:
            raise LinkError("the link was cut inside a frame")
        return payload, code

    def _receive_hello(self) -> PeerHello:
        frame = self.receive()
        if not isinstance(frame, PeerHello) or len(frame.nonce) != NONCE_BYTES:
            raise LinkError("the link did not start with a hello")
        return frame

    def _use(self, context: LinkContext) -> None:
        self._authenticator = FrameAuthenticator(self._key, context)
