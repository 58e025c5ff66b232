"""Authentication of the frames of a link with HMAC-SHA256 and a shared key."""

import hmac
import secrets
import struct
from dataclasses import dataclass
from enum import Enum
from hashlib import sha256

MAC_BYTES = 32
NONCE_BYTES = 16

# Domain separation: keeps these MACs distinct from those of other protocols with the same key.
_LABEL = b"damasktide peer link 1"
_SEQUENCE = struct.Struct(">Q")
_LENGTH = struct.Struct(">I")


class Direction(Enum):
    """Direction of a frame; it is authenticated, so that reflected frames are rejected."""

    TO_SERVER = b"\x00"
    TO_CLIENT = b"\x01"

    @property
    def opposite(self) -> "Direction":
        """The opposite direction."""
        if self is Direction.TO_SERVER:
            return Direction.TO_CLIENT
        return Direction.TO_SERVER


def new_nonce() -> bytes:
    """Return random bytes for one end of a link."""
    return secrets.token_bytes(NONCE_BYTES)


@dataclass(frozen=True, slots=True)
class LinkContext:
    """Identity of a link; fields that are not yet known during the handshake are empty.

    Attributes
    ----------
    client_id, server_id
        Ids of both instances, including their incarnations.
    client_nonce, server_nonce
        Random bytes chosen by each end for this link.
    """

    client_id: str = ""
    server_id: str = ""
    client_nonce: bytes = b""
    server_nonce: bytes = b""

    def digest(self) -> bytes:
        """Return the SHA-256 of all fields, each prefixed with its length."""
        result = sha256(_LABEL)
        for field in self._fields():
            result.update(_LENGTH.pack(len(field)))
            result.update(field)
        return result.digest()

    def _fields(self) -> tuple[bytes, ...]:
        ids = (self.client_id.encode(), self.server_id.encode())
        return (*ids, self.client_nonce, self.server_nonce)


class FrameAuthenticator:
    """Computes and verifies the message authentication codes (MACs) of one link's frames.

    Parameters
    ----------
    key
        Key that all instances share.
    context
        Identity of the link, which is incomplete during the handshake.
    """

    def __init__(self, key: bytes, context: LinkContext) -> None:
        self._key = key
        self._prefix = context.digest()

    def mac(self, direction: Direction, sequence: int, payload: bytes) -> bytes:
        """Return the MAC of a frame; ``sequence`` is its number within ``direction``."""
        header = self._prefix + direction.value + _SEQUENCE.pack(sequence)
        result = hmac.new(self._key, header, sha256)
        result.update(payload)
        return result.digest()

    def is_authentic(
        self, direction: Direction, sequence: int, payload: bytes, mac: bytes
    ) -> bool:
        """Return whether ``mac`` is the MAC of this frame at this position of this link."""
        return hmac.compare_digest(self.mac(direction, sequence, payload), mac)
