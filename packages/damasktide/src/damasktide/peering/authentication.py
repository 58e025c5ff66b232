"""Authentication of the frames of a link with HMAC-SHA256 and a shared key."""

import hmac
import secrets
import struct
from dataclasses import dataclass
from enum import Enum
from hashlib import sha256

MAC_BYTES = 32
NONCE_BYTES = 16

# Keeps codes for links apart from those that other protocols make with the same key.
_LABEL = b"damasktide peer link 1"
_SEQUENCE = struct.Struct(">Q")
_LENGTH = struct.Struct(">I")


class Direction(Enum):
    """Direction of a frame, so that a frame sent back to its sender is not accepted."""

    TO_SERVER = b"\x00"
    TO_CLIENT = b"\x01"

    @property
    def opposite(self) -> "Direction":
        """The other direction."""
        if self is Direction.TO_SERVER:
            return Direction.TO_CLIENT
        return Direction.TO_SERVER


def new_nonce() -> bytes:
    """Return random bytes for one end of a link."""
    return secrets.token_bytes(NONCE_BYTES)


@dataclass(frozen=True, slots=True)
class LinkContext:
    """What makes a link unique; fields not yet known during the handshake are empty.

    Attributes
    ----------
    client_id, server_id
        Ids of both instances with their incarnations.
    client_nonce, server_nonce
        Random bytes chosen by each end for this link.
    """

    client_id: str = ""
    server_id: str = ""
    client_nonce: bytes = b""
    server_nonce: bytes = b""

    def digest(self) -> bytes:
        """Return the SHA-256 of all fields, each with its length in front."""
        result = sha256(_LABEL)
        for field in self._fields():
            result.update(_LENGTH.pack(len(field)))
            result.update(field)
        return result.digest()

    def _fields(self) -> tuple[bytes, ...]:
        ids = (self.client_id.encode(), self.server_id.encode())
        return (*ids, self.client_nonce, self.server_nonce)


class FrameAuthenticator:
    """Makes and checks the codes of the frames of one link.

    Parameters
    ----------
    key
        Key that all instances share.
    context
        The link, or what is known of it during the handshake.
    """

    def __init__(self, key: bytes, context: LinkContext) -> None:
        self._key = key
        self._prefix = context.digest()

    def code(self, direction: Direction, sequence: int, payload: bytes) -> bytes:
        """Return the code of a frame; ``sequence`` counts the frames of one direction."""
        header = self._prefix + direction.value + _SEQUENCE.pack(sequence)
        result = hmac.new(self._key, header, sha256)
        result.update(payload)
        return result.digest()

    def is_authentic(
        self, direction: Direction, sequence: int, payload: bytes, code: bytes
    ) -> bool:
        """Return whether ``code`` belongs to this frame at this place of this link."""
        return hmac.compare_digest(self.code(direction, sequence, payload), code)
