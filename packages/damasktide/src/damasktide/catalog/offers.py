"""Encoding of the configuration that an instance offers to its peers."""

from pathlib import Path

import capnp

from damasktide.catalog.adoption import CatalogSnapshot, OfferConfiguration, Source

CONFIGURATION_KIND = "catalog/configuration"

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("offers.capnp")))


def encode_offer(accepted: CatalogSnapshot | None) -> bytes:
    """Encode the configuration in force; empty if there is none."""
    if accepted is None:
        return b""
    message = _SCHEMA.Offer.new_message(
        version=accepted.version, rowBody=accepted.row_body, object=accepted.object_bytes
    )
    return bytes(message.to_bytes_packed())


def decode_offer(data: bytes) -> OfferConfiguration:
    """Decode the offer of a peer."""
    message = _SCHEMA.Offer.from_bytes_packed(data)
    return OfferConfiguration(
        int(message.version), str(message.rowBody), bytes(message.object), Source.PEERS
    )
