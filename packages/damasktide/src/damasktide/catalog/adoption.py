"""Decides whether an offered configuration is adopted."""

from dataclasses import dataclass, replace
from enum import Enum

from damasktide.catalog.canonical import decode_catalog
from damasktide.catalog.configuration import Configuration, decode_configuration
from damasktide.catalog.lists import Catalog
from damasktide.store.object_client import object_name
from damasktide.store.rows import RowRead

# Three reads without a response; a single failed read does not justify relying on peers.
STORE_UNAVAILABLE_AFTER_S = 3.0


class Source(Enum):
    """Origin of a configuration."""

    STORE = "store"
    PEERS = "peers"


@dataclass(frozen=True, slots=True)
class OfferConfiguration:
    """Offers a configuration; the reply is an :class:`OfferOutcome`.

    Attributes
    ----------
    version
        Version of the row.
    row_body
        Body of the row ``configuration``.
    object_bytes
        Content of the object that the body references; may be empty if that object is in force.
    source
        Origin of the offer.
    """

    version: int
    row_body: str
    object_bytes: bytes
    source: Source = Source.PEERS


@dataclass(frozen=True, slots=True)
class CatalogSnapshot:
    """The configuration in force, as an immutable snapshot.

    Attributes
    ----------
    configuration
        Version, author, and the domains and instances out of service.
    catalog
        Customers and plans.
    source
        ``STORE`` once this version was read from the store, ``PEERS`` before.
    row_body, object_bytes
        Data that a peer needs to adopt the same version.
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


class OfferOutcome(Enum):
    """Outcome of an offer; the configuration in force changes only with ``ADOPTED``.

    ``CONFIRMED`` means that the store has returned the version that was adopted from peers.
    ``STORE_REACHABLE`` means that a peer's offer was rejected in favour of the store.
    """

    ADOPTED = "adopted"
    CONFIRMED = "confirmed"
    NOT_HIGHER = "not_higher"
    STORE_REACHABLE = "store_reachable"
    DIFFERENT_CONTENT = "different_content"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class OfferEvaluation:
    """Outcome of an offer, and the snapshot in force after it."""

    outcome: OfferOutcome
    accepted: CatalogSnapshot | None
    detail: str = ""


def may_accept_from_peers(store_read: RowRead | None, offered_version: int, now: float) -> bool:
    """Return whether an offer of a peer may be accepted.

    It may be accepted when the store has been unavailable for too long, and when the store has
    itself returned that version or a higher one, as happens while the row can be read but the
    object cannot be fetched.

    Parameters
    ----------
    store_read
        The last successful read of the row, or None.
    offered_version
        Version that a peer offers.
    now
        Monotonic time in seconds.
    """
    if store_read is None or now - store_read.requested_at >= STORE_UNAVAILABLE_AFTER_S:
        return True
    return offered_version <= store_read.row.version


def evaluate_offer(
    accepted: CatalogSnapshot | None, offer: OfferConfiguration, accepts_peer_offers: bool
) -> OfferEvaluation:
    """Decide whether to adopt an offer.

    Parameters
    ----------
    accepted
        The snapshot in force, or None.
    offer
        The offered configuration.
    accepts_peer_offers
        Whether offers of peers may be accepted.
    """
    if offer.source is Source.PEERS and not accepts_peer_offers:
        return OfferEvaluation(OfferOutcome.STORE_REACHABLE, accepted)
    if accepted is not None and offer.version <= accepted.version:
        return _evaluate_known_version(accepted, offer)
    try:
        return OfferEvaluation(OfferOutcome.ADOPTED, _decode_snapshot(accepted, offer))
    except ValueError as error:
        return OfferEvaluation(
            OfferOutcome.MALFORMED, accepted, f"version {offer.version}: {error}"
        )


def _evaluate_known_version(
    accepted: CatalogSnapshot, offer: OfferConfiguration
) -> OfferEvaluation:
    if offer.version < accepted.version:
        detail = f"version {offer.version} is older than version {accepted.version} in force"
        return OfferEvaluation(OfferOutcome.NOT_HIGHER, accepted, detail)
    if offer.row_body != accepted.row_body:
        detail = f"version {offer.version} has other content than the one in force"
        return OfferEvaluation(OfferOutcome.DIFFERENT_CONTENT, accepted, detail)
    if offer.source is accepted.source or offer.source is Source.PEERS:
        return OfferEvaluation(OfferOutcome.NOT_HIGHER, accepted)
    return OfferEvaluation(OfferOutcome.CONFIRMED, replace(accepted, source=offer.source))


def _decode_snapshot(
    accepted: CatalogSnapshot | None, offer: OfferConfiguration
) -> CatalogSnapshot:
    configuration = decode_configuration(offer.version, offer.row_body)
    if accepted is not None and accepted.configuration.object_name == configuration.object_name:
        # Decoding long lists is slow, and most changes do not affect them.
        return replace(
            accepted,
            configuration=configuration,
            source=offer.source,
            row_body=offer.row_body,
        )
    if object_name(offer.object_bytes) != configuration.object_name:
        raise ValueError("the object does not match its SHA-256")
    catalog = decode_catalog(offer.object_bytes)
    return CatalogSnapshot(
        configuration, catalog, offer.source, offer.row_body, offer.object_bytes
    )
