import unittest

from damasktide.admission.refusals import RefusalCode
from damasktide.catalog.canonical import decode_catalog, encode_catalog
from damasktide.catalog.differences import DifferenceKind, FieldChange, compare_catalogs
from damasktide.catalog.lists import Catalog
from damasktide.catalog.plan_checks import check_plan, hash_token
from damasktide.catalog.reading import read_lists
from damasktide.catalog.tests.samples import (
    CATALOG,
    LISTS,
    OTHER_CATALOG,
    PLAN,
    RESTRICTED_CUSTOMER,
    UNRESTRICTED_CUSTOMER,
)

PLANS = """\
plans:
  member:
    regions: [oyo, ondo]
    services: [lot-ledger, batch-desk]
    requests_per_second: 50
    max_body_bytes: 1000
"""
CUSTOMERS = f"""\
customers:
  ondo-growers:
    token_sha256: {hash_token("one")}
    plan: member
  ibadan-buyers:
    token_sha256: {hash_token("two")}
    plan: member
    home_regions: [oyo]
"""
BROKEN_PLANS = """\
plans:
  member:
    regions: []
    services: [batch-desk, batch-desk]
    requests_per_second: 0
    max_body_bytes: 1000
    burst: 3
"""
BROKEN_CUSTOMERS = f"""\
customers:
  Ondo:
    token_sha256: {hash_token("one")}
    plan: membre
  ibadan-buyers:
    token_sha256: {hash_token("one")}
    plan: member
    home_regions: [lagos]
  third:
    token_sha256: secret
    plan: member
"""


class ReadListsTest(unittest.TestCase):
    def test_order_in_the_files_does_not_change_the_object(self) -> None:
        """Guards against a new version for lists that differ only in their order."""
        catalog = read_lists(CUSTOMERS, PLANS).unwrap()
        self.assertEqual(catalog, CATALOG)
        self.assertEqual(encode_catalog(catalog), LISTS)
        self.assertEqual(decode_catalog(LISTS), CATALOG)

    def test_all_findings_of_both_files_are_returned_together(self) -> None:
        """Guards against operators having to fix one problem at a time."""
        findings = read_lists(BROKEN_CUSTOMERS, BROKEN_PLANS).failure()
        self.assertEqual(
            [(f.location.file, f.location.line, f.message) for f in findings],
            [
                ("customers.yaml", 3, "a name has 1 to 63 characters of a-z, 0-9 and -"),
                ("customers.yaml", 4, "unknown plan 'membre'"),
                ("customers.yaml", 6, "customer Ondo has the same token"),
                ("customers.yaml", 8, "region 'lagos' is not in plan 'member'"),
                ("customers.yaml", 10, "expected 64 hexadecimal digits in lower case"),
                ("plans.yaml", 3, "expected at least one name"),
                ("plans.yaml", 4, "a name is given twice"),
                ("plans.yaml", 5, "expected a value from 0.1 to 10000000.0"),
                ("plans.yaml", 7, "unknown field"),
            ],
        )

    def test_malformed_plans_do_not_hide_findings_of_customers(self) -> None:
        """Guards against false 'unknown plan' findings and against stopping at one file."""
        findings = read_lists(BROKEN_CUSTOMERS, "plans: [").failure()
        messages = [finding.message for finding in findings]
        self.assertFalse([m for m in messages if "plan" in m], messages)
        self.assertEqual({f.location.file for f in findings}, {"customers.yaml", "plans.yaml"})

    def test_malformed_objects_are_refused(self) -> None:
        """Guards against lists that fail at a request instead of at decoding."""
        unknown_plan = encode_catalog(Catalog((UNRESTRICTED_CUSTOMER,), ()))
        for data in (
            unknown_plan,
            b"{}",
            b"[]",
            b"\xff",
            LISTS.replace(b'"format":1', b'"format":2'),
        ):
            with self.assertRaises(ValueError):
                decode_catalog(data)


class CompareCatalogsTest(unittest.TestCase):
    def test_each_difference_is_reported_once(self) -> None:
        """Guards against a diff that omits a removed customer or a changed limit."""
        differences = compare_catalogs(CATALOG, OTHER_CATALOG)
        self.assertEqual(
            [(d.kind, d.entry, d.name) for d in differences],
            [
                (DifferenceKind.CHANGED, "plan", "member"),
                (DifferenceKind.REMOVED, "customer", "ibadan-buyers"),
            ],
        )
        self.assertEqual(differences[0].fields, (FieldChange("max_body_bytes", 1000, 2000),))
        self.assertEqual(compare_catalogs(CATALOG, CATALOG), ())


class CheckPlanTest(unittest.TestCase):
    def refusal(
        self, token: str, service: str = "batch-desk", homes: tuple[str, ...] = (), size: int = 0
    ) -> RefusalCode:
        return check_plan(CATALOG, hash_token(token), service, homes, size).failure().code

    def test_requests_beyond_the_plan_are_refused(self) -> None:
        """Guards against requests that the plan does not permit."""
        self.assertIs(self.refusal("none"), RefusalCode.UNKNOWN_CUSTOMER)
        self.assertIs(self.refusal("one", "skycast"), RefusalCode.SERVICE_NOT_IN_PLAN)
        self.assertIs(self.refusal("one", homes=("lagos",)), RefusalCode.REGION_NOT_IN_PLAN)
        self.assertIs(self.refusal("one", size=1001), RefusalCode.BODY_TOO_LARGE)

    def test_header_does_not_widen_the_home_regions_of_a_customer(self) -> None:
        """Guards against a header that moves requests out of the customer's home regions."""
        self.assertIs(self.refusal("two", homes=("ondo",)), RefusalCode.REGION_NOT_IN_PLAN)
        allowed = check_plan(
            CATALOG, RESTRICTED_CUSTOMER.token_sha256, "batch-desk", (), 1000
        ).unwrap()
        self.assertEqual((allowed.home_regions, allowed.regions), (("oyo",), ("oyo",)))

    def test_home_regions_of_the_request_narrow_the_plan(self) -> None:
        """Guards against serving a request outside the regions that it names."""
        token_hash = UNRESTRICTED_CUSTOMER.token_sha256
        named = check_plan(CATALOG, token_hash, "batch-desk", ("ondo",), 0).unwrap()
        free = check_plan(CATALOG, token_hash, "batch-desk", (), 0).unwrap()
        self.assertEqual((named.regions, free.regions), (("ondo",), PLAN.regions))


if __name__ == "__main__":
    unittest.main()
