"""Computes the identity of a request and chooses its deduplicator."""

from collections.abc import Iterable
from hashlib import blake2b

# A bytes object of 15 bytes fits into a 48-byte allocator block; 16 bytes would need 64.
IDENTITY_BYTES = 15


def identity_of(customer: str, service: str, operation: str, key: str, request_id: str) -> bytes:
    """Return a digest that identifies a request.

    The request id alone is not enough: customers choose it, so two of them may use the same one.

    Returns
    -------
    bytes
        Digest of :data:`IDENTITY_BYTES` bytes.
    """
    parts = (customer, service, operation, key, request_id)
    return blake2b(_join(parts), digest_size=IDENTITY_BYTES).digest()


def deduplicator_of_shard(instance_ids: Iterable[str], service: str, shard: int) -> str | None:
    """Return the deduplicator of a shard.

    Parameters
    ----------
    instance_ids
        Candidates: instances in the owner's failure domain that may run requests.
    service
        Name of the service.
    shard
        Number of the shard.
    """
    return _choose(instance_ids, _join(("shard", service, str(shard))))


def deduplicator_of_request(
    instance_ids: Iterable[str], service: str, request_id: str
) -> str | None:
    """Return the deduplicator of an unkeyed request.

    Parameters
    ----------
    instance_ids
        Candidates: instances of one failure domain that may run requests.
    service
        Name of the service.
    request_id
        Id of the request.
    """
    return _choose(instance_ids, _join(("request", service, request_id)))


def _choose(instance_ids: Iterable[str], token: bytes) -> str | None:
    """Return the instance with the highest hash (rendezvous hashing), or None if there is none."""

    def weight(instance_id: str) -> tuple[bytes, str]:
        return blake2b(token + instance_id.encode(), digest_size=8).digest(), instance_id

    return max(instance_ids, key=weight, default=None)


def _join(parts: Iterable[str]) -> bytes:
    # The length prefixes distinguish ("a", "bc") from ("ab", "c").
    encoded = (part.encode() for part in parts)
    return b"".join(len(part).to_bytes(4, "big") + part for part in encoded)
