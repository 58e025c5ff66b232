"""Organisations and the lookup of an organisation by its API key."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from secrets import token_bytes

DIGEST_BYTES = 16
# A random value for each process, so that digests cannot be compared with precomputed ones.
_DIGEST_KEY = token_bytes(32)


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation, as the operators' configuration describes it.

    Attributes
    ----------
    name
        Name, which is passed on to targets.
    priority
        Priority of its requests in place of the route's, 0 being the most urgent; or None.
    requests_per_s
        Limit on its request rate over all instances; 0 for no limit.
    burst
        Requests allowed at once in addition to the rate.
    regions
        Regions in which its requests may be served; empty allows all.
    """

    name: str
    priority: int | None = None
    requests_per_s: float = 0.0
    burst: float = 0.0
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class CallerIdentity:
    """Who sent a request, where the configuration has organisations.

    Attributes
    ----------
    organisation
        The organisation that holds the request's API key; None for a request without one, which
        only routes that need no key accept.
    """

    organisation: Organisation | None = None


class OrganisationTable:
    """Organisations by API key; immutable after construction.

    Only digests of the keys are kept, so that neither the table nor a log of it reveals a key, and
    the time of a lookup does not depend on how much of a key is right.

    Parameters
    ----------
    keys_by_organisation
        Each organisation with its keys. A key that several of them hold identifies the first.
    """

    def __init__(
        self, keys_by_organisation: Iterable[tuple[Organisation, Iterable[bytes]]] = ()
    ) -> None:
        self._organisation_by_name: dict[str, Organisation] = {}
        self._organisation_by_digest: dict[bytes, Organisation] = {}
        for organisation, keys in keys_by_organisation:
            self._organisation_by_name.setdefault(organisation.name, organisation)
            for key in keys:
                self._organisation_by_digest.setdefault(key_digest(key), organisation)

    def __len__(self) -> int:
        return len(self._organisation_by_name)

    def __iter__(self) -> Iterator[Organisation]:
        return iter(self._organisation_by_name.values())

    def find(self, key: bytes | None) -> Organisation | None:
        """Return the organisation that holds ``key``, or None if there is none."""
        return self._organisation_by_digest.get(key_digest(key)) if key is not None else None


def key_digest(key: bytes) -> bytes:
    """Return the digest of an API key, which is comparable only within this process."""
    return blake2b(key, digest_size=DIGEST_BYTES, key=_DIGEST_KEY).digest()
