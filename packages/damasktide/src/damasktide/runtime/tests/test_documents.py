import unittest

from damasktide.runtime.documents import Section, load_document
from damasktide.runtime.findings import Finding, render_findings

DOCUMENT = """\
name: skycast
slots: many
nested:
  limit: -1
extra: 1
"""


class SectionTest(unittest.TestCase):
    def test_all_findings_are_reported_together_with_their_line(self) -> None:
        """Guards against reporting only the first of several problems."""
        findings: list[Finding] = []
        root = Section(load_document(DOCUMENT, "f.yaml").unwrap(), findings)
        root.text("name")
        root.integer("slots")
        root.section("nested").integer("limit")
        root.text("absent")
        root.report_unknown()
        self.assertEqual(
            render_findings(findings).splitlines(),
            [
                "f.yaml:1: missing field 'absent'",
                "f.yaml:2: slots: expected a whole number",
                f"f.yaml:4: nested.limit: expected a value from 0 to {2**63}",
                "f.yaml:5: extra: unknown field",
            ],
        )

    def test_invalid_yaml_and_duplicate_keys_are_findings(self) -> None:
        """Guards against a traceback, or a silently lost value, for a malformed file."""
        invalid = load_document("a: [1", "f.yaml").failure()
        duplicate = load_document("a: 1\na: 2", "f.yaml").failure()
        self.assertEqual([len(invalid), len(duplicate)], [1, 1])
        self.assertEqual(str(duplicate[0]), "f.yaml:2: a: the key is given twice")


if __name__ == "__main__":
    unittest.main()
