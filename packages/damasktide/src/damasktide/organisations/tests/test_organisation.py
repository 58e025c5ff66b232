"""Lookup of organisations by API key."""

import unittest

from damasktide.organisations.organisation import Organisation, OrganisationTable

LARGE = Organisation("large", priority=0)
SMALL = Organisation("small")


class TestOrganisationTable(unittest.TestCase):
    def test_each_key_identifies_its_organisation(self) -> None:
        table = OrganisationTable([(LARGE, (b"k1", b"k2")), (SMALL, (b"k3",))])
        self.assertEqual([table.find(key) for key in (b"k1", b"k2", b"k3")], [LARGE, LARGE, SMALL])
        self.assertEqual(len(table), 2)

    def test_unknown_empty_and_missing_keys_identify_nobody(self) -> None:
        table = OrganisationTable([(LARGE, (b"k1",))])
        for key in (b"k", b"k11", b"", None):
            with self.subTest(key=key):
                self.assertIsNone(table.find(key))

    def test_a_key_that_two_organisations_hold_identifies_the_first(self) -> None:
        table = OrganisationTable([(LARGE, (b"k1",)), (SMALL, (b"k1",))])
        self.assertEqual(table.find(b"k1"), LARGE)

    def test_the_table_holds_no_key(self) -> None:
        """Guards against keys in a dump of the table or in a log line that prints it."""
        table = OrganisationTable([(LARGE, (b"secret-key",))])
        self.assertNotIn("secret-key", repr(vars(table)))
