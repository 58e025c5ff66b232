"""Identity of a request and choice of its gatekeeper."""

from collections.abc import Iterable
from hashlib import blake2b

# A bytes object of 15 bytes fits a 48-byte block of the allocator; 16 bytes would take 64.
IDENTITY_BYTES = 15


def identity_of(customer: str, service: str, operation: str, key: str, request_id: str) -> bytes:
    """Return what tells one request from all others.

    Request ids are chosen by customers, so two customers may use the same one.

    Returns
    -------
    bytes
        Digest of :data:`IDENTITY_BYTES` bytes.
    """
    parts = (customer, service, operation, key, request_id)
    return blake2b(_join(parts), digest_size=IDENTITY_BYTES).digest()


def deduplicator_of_shard(instance_ids: Iterable[str], service: str, shard: int) -> str | None:
    """Return the gatekeeper of a shard among the confirmers of the owner's failure domain."""
    return _choose(instance_ids, _join(("shard", service, str(shard))))


def deduplicator_of_request(
    instance_ids: Iterable[str], service: str, request_id: str
) -> str | None:
    """Return the gatekeeper of an unkeyed request among the confirmers of a failure domain."""
    return _choose(instance_ids, _join(("request", service, request_id)))


def _choose(instance_ids: Iterable[str], token: bytes) -> str | None:
    """Return the instance with the highest hash (rendezvous hashing), or None if there is none."""

    def weight(instance_id: str) -> tuple[bytes, str]:
        return blake2b(token + instance_id.encode(), digest_size=8).digest(), instance_id

    return max(instance_ids, key=weight, default=None)


def _join(parts: Iterable[str]) -> bytes:
    # Lengths keep ("a", "bc") apart from ("ab", "c").
    encoded = (part.encode() for part in parts)
    return b"".join(len(part).to_bytes(4, "big") + part for part in encoded)
