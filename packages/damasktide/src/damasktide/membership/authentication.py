"""Authentication of datagrams with HMAC-SHA256 and replay windows."""

import hmac
from collections import OrderedDict
from hashlib import sha256

MAC_BYTES = 32
REPLAY_WINDOW_BITS = 1024
# Windows of departed senders are kept as well, so that their datagrams cannot be replayed.
MAX_WINDOWS = 4096

# Keeps codes for datagrams apart from those that other protocols make with the same key.
_LABEL = b"damasktide gossip 1"


def seal(key: bytes, payload: bytes) -> bytes:
    """Return ``payload`` with its code in front."""
    return _code(key, payload) + payload


def unseal(key: bytes, data: bytes) -> bytes | None:
    """Return the payload, or None if the code is not right."""
    payload = data[MAC_BYTES:]
    if not hmac.compare_digest(_code(key, payload), data[:MAC_BYTES]):
        return None
    return payload


def _code(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, _LABEL + payload, sha256)


class ReplayWindow:
    """Accepts each sequence number of one sender once, and none that are far behind.

    The window slides as in RFC 4303, section 3.4.3.
    """

    def __init__(self) -> None:
        self._highest = -1
        self._seen_bits = 0

    def accept(self, sequence: int) -> bool:
        """Return whether the number is new, and remember it."""
        if sequence > self._highest:
            shift = min(sequence - self._highest, REPLAY_WINDOW_BITS)
            mask = (1 << REPLAY_WINDOW_BITS) - 1
            self._seen_bits = (self._seen_bits << shift | 1) & mask
            self._highest = sequence
            return True
        bit = 1 << (self._highest - sequence)
        if self._highest - sequence >= REPLAY_WINDOW_BITS or self._seen_bits & bit:
            return False
        self._seen_bits |= bit
        return True


class ReplayGuard:
    """Replay windows by sender; an id contains the incarnation of its process."""

    def __init__(self) -> None:
        self._window_by_sender_id: OrderedDict[str, ReplayWindow] = OrderedDict()

    def accept(self, sender_id: str, sequence: int) -> bool:
        """Return whether a datagram is received for the first time."""
        window = self._window_by_sender_id.get(sender_id)
        if window is None:
            window = self._window_by_sender_id[sender_id] = ReplayWindow()
            if len(self._window_by_sender_id) > MAX_WINDOWS:
                self._window_by_sender_id.popitem(last=False)
        self._window_by_sender_id.move_to_end(sender_id)
        return window.accept(sequence)
