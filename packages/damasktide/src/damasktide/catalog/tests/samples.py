from dataclasses import replace

from damasktide.catalog.adoption import OfferConfiguration, Source
from damasktide.catalog.canonical import encode_catalog
from damasktide.catalog.configuration import Configuration, encode_configuration
from damasktide.catalog.lists import Catalog, Customer, Plan
from damasktide.catalog.plan_checks import hash_token
from damasktide.store.object_client import object_name

PLAN = Plan("member", ("ondo", "oyo"), ("batch-desk", "lot-ledger"), 50.0, 1000)
UNRESTRICTED_CUSTOMER = Customer("ondo-growers", hash_token("one"), "member")
RESTRICTED_CUSTOMER = Customer("ibadan-buyers", hash_token("two"), "member", ("oyo",))
CATALOG = Catalog((UNRESTRICTED_CUSTOMER, RESTRICTED_CUSTOMER), (PLAN,))
OTHER_CATALOG = Catalog((UNRESTRICTED_CUSTOMER,), (replace(PLAN, max_body_bytes=2000),))
LISTS = encode_catalog(CATALOG)
OTHER_LISTS = encode_catalog(OTHER_CATALOG)


def offer(version: int, lists: bytes = LISTS, source: Source = Source.PEERS) -> OfferConfiguration:
    body = encode_configuration(
        Configuration(version, "ada", f"c{version}", version - 1, object_name(lists))
    )
    return OfferConfiguration(version, body, lists, source)
