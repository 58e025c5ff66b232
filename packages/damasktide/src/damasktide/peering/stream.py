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
# The kernel drops a connection whose peer acknowledges nothing for this long. With the kernel's
# default, calls to a partitioned peer would wait for many minutes.
TCP_USER_TIMEOUT_MS = 2000

_HEADER = struct.Struct(f">I{MAC_BYTES}s")


class LinkError(Exception):
    """A violation of the protocol, or the loss of the link."""


class PeerStream:
    """Sends and receives authenticated frames; receiving any other frame is an error.

    Parameters
    ----------
    sock
        Connected socket; the stream owns it.
    key
        Key that all instances share.
    outgoing
        Direction of the frames that this end sends.
    """

    def __init__(self, sock: Any, key: bytes, outgoing: Direction) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        sock.settimeout(HANDSHAKE_TIMEOUT_S)
        self._socket = sock
        self._file = sock.makefile("rb")
        self._key = key
        self._outgoing = outgoing
        self._incoming = outgoing.opposite
        self._authenticator = FrameAuthenticator(key, LinkContext())
        self._sent_frames = 0
        self._received_frames = 0
        self._max_payload_bytes = MAX_HELLO_BYTES

    def handshake_as_client(self, own_id: str) -> str:
        """Exchange hello frames and return the id of the server."""
        client_hello = PeerHello(own_id, new_nonce())
        self.send(client_hello)
        self._set_context(LinkContext(client_id=own_id, client_nonce=client_hello.nonce))
        server_hello = self._receive_hello()
        self._set_context(
            LinkContext(own_id, server_hello.sender_id, client_hello.nonce, server_hello.nonce)
        )
        self._max_payload_bytes = MAX_FRAME_BYTES
        return server_hello.sender_id

    def handshake_as_server(self, own_id: str) -> str:
        """Exchange hello frames and return the id of the client.

        A replayed hello is accepted here, but its sender cannot authenticate another frame,
        because the MAC of later frames covers the nonce of this end.
        """
        client_hello = self._receive_hello()
        self._set_context(
            LinkContext(client_id=client_hello.sender_id, client_nonce=client_hello.nonce)
        )
        server_hello = PeerHello(own_id, new_nonce())
        self.send(server_hello)
        self._set_context(
            LinkContext(client_hello.sender_id, own_id, client_hello.nonce, server_hello.nonce)
        )
        self._max_payload_bytes = MAX_FRAME_BYTES
        return client_hello.sender_id

    def set_timeout(self, timeout_s: float | None) -> None:
        """Set the timeout of each read and write in seconds; None removes it."""
        self._socket.settimeout(timeout_s)

    def send(self, frame: PeerFrame) -> None:
        """Write ``frame``; only one greenlet may send."""
        payload = encode_frame(frame)
        mac = self._authenticator.mac(self._outgoing, self._sent_frames, payload)
        self._sent_frames += 1
        self._socket.sendall(_HEADER.pack(len(payload), mac) + payload)

    def receive(self) -> PeerFrame | None:
        """Return the next frame, or None if the peer closed the link between frames.

        Raises
        ------
        LinkError
            If the frame is too long, truncated, not authentic or cannot be decoded.
        """
        header = self._file.read(_HEADER.size)
        if not header:
            return None
        payload, mac = self._read_payload(header)
        sequence = self._received_frames
        self._received_frames += 1
        if not self._authenticator.is_authentic(self._incoming, sequence, payload, mac):
            raise LinkError("a frame is not authentic")
        try:
            return decode_frame(payload)
        except FrameError as error:
            raise LinkError(str(error)) from error

    def close(self) -> None:
        """Close the socket, which also wakes a greenlet that reads from it."""
        with suppress(OSError):  # The peer may have closed the connection already.
            self._socket.shutdown(socket.SHUT_RDWR)
        self._file.close()
        self._socket.close()

    def _read_payload(self, header: bytes) -> tuple[bytes, bytes]:
        if len(header) < _HEADER.size:
            raise LinkError("the link was closed inside a frame")
        length, mac = _HEADER.unpack(header)
        if length > self._max_payload_bytes:
            raise LinkError(f"a frame of {length} bytes is longer than {self._max_payload_bytes}")
        payload = self._file.read(length)
        if len(payload) < length:
            raise LinkError("the link was closed inside a frame")
        return payload, mac

    def _receive_hello(self) -> PeerHello:
        frame = self.receive()
        if not isinstance(frame, PeerHello) or len(frame.nonce) != NONCE_BYTES:
            raise LinkError("the link did not start with a hello")
        return frame

    def _set_context(self, context: LinkContext) -> None:
        self._authenticator = FrameAuthenticator(self._key, context)
