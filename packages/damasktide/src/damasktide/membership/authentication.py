"""Authentication of datagrams with HMAC-SHA256 and replay windows."""

import hmac
from collections import OrderedDict
from hashlib import sha256

MAC_BYTES = 32
REPLAY_WINDOW_BITS = 1024
# Leaves room for the windows of departed senders, so that their datagrams cannot be replayed.
MAX_REPLAY_WINDOWS = 4096

# Domain separation: other protocols that use the same key produce other MACs.
_LABEL = b"damasktide gossip 1"


def seal(key: bytes, payload: bytes) -> bytes:
    """Prepend the MAC of ``payload``."""
    return _mac(key, payload) + payload


def unseal(key: bytes, data: bytes) -> bytes | None:
    """Verify the MAC and return the payload, or None if the MAC is wrong."""
    payload = data[MAC_BYTES:]
    if not hmac.compare_digest(_mac(key, payload), data[:MAC_BYTES]):
        return None
    return payload


def _mac(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, _LABEL + payload, sha256)


class ReplayWindow:
    """Accepts each sequence number of a sender once, and none that precede the window.

    The window slides as in RFC 4303, section 3.4.3.
    """

    def __init__(self) -> None:
        self._highest = -1
        self._seen_bits = 0

    def accept(self, sequence: int) -> bool:
        """Record a sequence number and return whether it is accepted."""
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
    """Replay windows by sender id; the id contains the incarnation of the sender's process."""

    def __init__(self) -> None:
        self._window_by_sender_id: OrderedDict[str, ReplayWindow] = OrderedDict()

    def accept(self, sender_id: str, sequence: int) -> bool:
        """Return whether a datagram is accepted: neither a replay nor too old."""
        window = self._window_by_sender_id.get(sender_id)
        if window is None:
            window = self._window_by_sender_id[sender_id] = ReplayWindow()
            if len(self._window_by_sender_id) > MAX_REPLAY_WINDOWS:
                self._window_by_sender_id.popitem(last=False)
        self._window_by_sender_id.move_to_end(sender_id)
        return window.accept(sequence)
