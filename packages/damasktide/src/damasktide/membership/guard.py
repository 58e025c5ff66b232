"""Converts datagrams to authenticated bytes and back."""

from itertools import count

from loguru import logger

from damasktide.membership.authentication import ReplayGuard, seal, unseal
from damasktide.membership.codec import DatagramError, decode_datagram, encode_datagram
from damasktide.membership.datagrams import Datagram
from damasktide.membership.sizing import MAX_DATAGRAM_BYTES


class DatagramGuard:
    """Encodes and authenticates outgoing datagrams, and verifies incoming ones.

    Outgoing datagrams carry sequence numbers, so that receivers can detect replays.

    Parameters
    ----------
    key
        Key shared by all instances.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._sequences = count()
        self._replay_guard = ReplayGuard()

    def seal(self, datagram: Datagram) -> bytes:
        """Encode a datagram and prepend its MAC."""
        return seal(self._key, encode_datagram(datagram, next(self._sequences)))

    def unseal(self, data: bytes) -> Datagram | None:
        """Return the datagram, or None if it is too long, not authentic, malformed or a replay."""
        payload = unseal(self._key, data) if len(data) <= MAX_DATAGRAM_BYTES else None
        if payload is None:
            return None
        try:
            datagram, sequence = decode_datagram(payload)
        except DatagramError as error:
            logger.bind(reason=str(error)).warning("authenticated datagram could not be decoded")
            return None
        if not self._replay_guard.accept(datagram.sender.instance_id, sequence):
            return None
        return datagram
