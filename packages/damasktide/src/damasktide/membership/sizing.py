"""Sizes of encoded datagrams, computed without encoding them.

These are the sizes before packing. The packed size is never larger: packing adds two bytes to a
run of words without zero bytes, but saves at least three bytes on the pointer of each text.
"""

from functools import singledispatch

from damasktide.membership.authentication import MAC_BYTES
from damasktide.membership.claims import Claim
from damasktide.membership.datagrams import Body, Datagram, Page, PingRequest, Pull

MAX_DATAGRAM_BYTES = 1200

_WORD_BYTES = 8
# Segment table, root pointer, and the data and pointer words of the struct.
_DATAGRAM_BYTES = 8 + 8 + 3 * 8 + 5 * 8
_LIST_BYTES = 8
_CLAIM_BYTES = 2 * 8 + 4 * 8
_VERSION_BYTES = 8 + 8


def _text_bytes(text: str) -> int:
    """Return the size of a text with its NUL byte, rounded up to words."""
    length = len(text) if text.isascii() else len(text.encode())
    return (length // _WORD_BYTES + 1) * _WORD_BYTES


@singledispatch
def _body_bytes(_body: Body) -> int:
    return 0


@_body_bytes.register
def _(body: PingRequest) -> int:
    return 8 + 8 + _text_bytes(body.target_id)


@_body_bytes.register
def _(body: Pull) -> int:
    return _text_bytes(body.after_id)


@_body_bytes.register
def _(body: Page) -> int:
    return 8 + 8 + _text_bytes(body.last_id)


class DatagramSizing:
    """Sizes of datagrams of at most ``MAX_DATAGRAM_BYTES`` including their MAC."""

    def free_bytes(self, datagram: Datagram) -> int:
        """Return how many more bytes of claims fit into the datagram."""
        return MAX_DATAGRAM_BYTES - self.datagram_bytes(datagram) - _LIST_BYTES

    def claim_bytes(self, claim: Claim) -> int:
        """Return how many bytes a claim adds to a datagram."""
        instance = claim.instance
        texts = (instance.instance_id, instance.domain, instance.region, instance.host)
        return _CLAIM_BYTES + sum(map(_text_bytes, texts))

    def version_bytes(self, name: str) -> int:
        """Return how many bytes a version adds to a datagram."""
        return _VERSION_BYTES + _text_bytes(name)

    def datagram_bytes(self, datagram: Datagram) -> int:
        """Return the size of the encoded datagram with its MAC, before packing."""
        size = MAC_BYTES + _DATAGRAM_BYTES + self.claim_bytes(datagram.sender)
        if datagram.recipient_id:
            size += _text_bytes(datagram.recipient_id)
        if datagram.claims:
            size += _LIST_BYTES + sum(map(self.claim_bytes, datagram.claims))
        if datagram.version_by_name:
            size += _LIST_BYTES + sum(map(self.version_bytes, datagram.version_by_name))
        return size + _body_bytes(datagram.body)
