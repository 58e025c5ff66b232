"""Decides whether an offered configuration is adopted."""

from dataclasses import dataclass, replace
from enum import Enum

from damasktide.catalog.canonical import decode_catalog
from damasktide.catalog.configuration import Configuration, decode_configuration
from damasktide.catalog.lists import Catalog
from damasktide.store.object_client import object_name
from damasktide.store.rows import RowRead

# Three polls in a row without an answer; one lost poll is no reason to rely on peers.
STORE_DOWN_AFTER_S = 3.0


class Source(Enum):
    """From where a configuration came."""

    STORE = "store"
    PEERS = "peers"


@dataclass(frozen=True, slots=True)
class OfferConfiguration:
    """Offers a configuration; the reply is a :class:`Verdict`.

    Attributes
    ----------
    version
        Version of the row.
    row_body
        Body of the row ``configuration``.
    object_bytes
        Content of the object that the body names; may be empty if that object is in force.
    source
        From where it came.
    """

    version: int
    row_body: str
    object_bytes: bytes
    source: Source = Source.PEERS


@dataclass(frozen=True, slots=True)
class CatalogAccepted:
    """The configuration in force, as an immutable snapshot.

    Attributes
    ----------
    configuration
        Version, author and what is out of service.
    catalog
        Customers and plans.
    source
        Whether the store or only peers have shown this version.
    row_body, object_bytes
        What a peer needs to adopt the same version.
    """

    configuration: Configuration
    catalog: Catalog
    source: Source
    row_body: str
    object_bytes: bytes

    @property
    def version(self) -> int:
        """Version in force."""
        return self.configuration.version


class Verdict(Enum):
    """What became of an offer."""

    ADOPTED = "adopted"
    CONFIRMED = "confirmed"
    NOT_HIGHER = "not_higher"
    STORE_REACHABLE = "store_reachable"
    DIFFERENT_CONTENT = "different_content"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Judgement:
    """The verdict on an offer and the snapshot in force after it."""

    verdict: Verdict
    accepted: CatalogAccepted | None
    detail: str = ""


def may_take_from_peers(store_read: RowRead | None, offered_version: int, now: float) -> bool:
    """Return whether an offer of peers counts.

    It counts when the store has been silent for too long, and when the store has shown that
    version itself, which happens while only the object cannot be fetched.

    Parameters
    ----------
    store_read
        The last successful read of the row, or None.
    offered_version
        Version that peers offer.
    now
        Monotonic time in seconds.
    """
    if store_read is None or now - store_read.requested_at >= STORE_DOWN_AFTER_S:
        return True
    return offered_version <= store_read.row.version


def judge_offer(
    accepted: CatalogAccepted | None, offer: OfferConfiguration, peers_count: bool
) -> Judgement:
    """Judge an offer.

    Parameters
    ----------
    accepted
        The snapshot in force, or None.
    offer
        What is offered.
    peers_count
        Whether offers of peers count.
    """
    if offer.source is Source.PEERS and not peers_count:
        return Judgement(Verdict.STORE_REACHABLE, accepted)
    if accepted is not None and offer.version <= accepted.version:
        return _judge_known(accepted, offer)
    try:
        return Judgement(Verdict.ADOPTED, _open_offer(accepted, offer))
    except ValueError as error:
        return Judgement(Verdict.MALFORMED, accepted, f"version {offer.version}: {error}")


def _judge_known(accepted: CatalogAccepted, offer: OfferConfiguration) -> Judgement:
    if offer.version < accepted.version:
        detail = f"version {offer.version} is older than version {accepted.version} in force"
        return Judgement(Verdict.NOT_HIGHER, accepted, detail)
    if offer.row_body != accepted.row_body:
        detail = f"version {offer.version} has other content than the one in force"
        return Judgement(Verdict.DIFFERENT_CONTENT, accepted, detail)
    if offer.source is accepted.source or offer.source is Source.PEERS:
        return Judgement(Verdict.NOT_HIGHER, accepted)
    return Judgement(Verdict.CONFIRMED, replace(accepted, source=offer.source))


def _open_offer(accepted: CatalogAccepted | None, offer: OfferConfiguration) -> CatalogAccepted:
    configuration = decode_configuration(offer.version, offer.row_body)
    if accepted is not None and accepted.configuration.object_name == configuration.object_name:
        # Decoding long lists takes time, and most changes leave them as they are.
        return replace(
            accepted,
            configuration=configuration,
            source=offer.source,
            row_body=offer.row_body,
        )
    if object_name(offer.object_bytes) != configuration.object_name:
        raise ValueError("the object does not match its SHA-256")
    catalog = decode_catalog(offer.object_bytes)
    return CatalogAccepted(
        configuration, catalog, offer.source, offer.row_body, offer.object_bytes
    )
