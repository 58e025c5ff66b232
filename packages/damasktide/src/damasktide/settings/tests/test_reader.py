import unittest

from damasktide.runtime.findings import render_findings
from damasktide.settings.reader import read_settings

VALID = """\
instance: ondo-a-1
domain: ondo-a
listen: 127.0.0.1:8080
gossip_port: 7100
peer_port: 7200
peer_key: 0123456789abcdef
seeds: [127.0.0.1:7101]
domains: {ondo-a: ondo, oyo-a: oyo}
platform:
  table_url: http://127.0.0.1:9000/table/
  object_url: http://127.0.0.1:9000/objects
  live_list_url: http://127.0.0.1:9000/instances
services:
  batch-desk:
    shards: 512
    on_isolation: hold
    operations:
      bookings: {keyed: true}
      recipes: {}
"""


class ReadSettingsTest(unittest.TestCase):
    def test_valid_settings(self) -> None:
        """Guards against values that are assigned to the wrong field."""
        settings = read_settings(VALID, "s.yaml").unwrap()
        service = settings.service_by_name["batch-desk"]
        self.assertEqual(settings.region, "ondo")
        self.assertEqual(settings.platform.table_url, "http://127.0.0.1:9000/table")
        self.assertEqual([service.on_isolation, service.grants_checked], ["hold", True])
        self.assertTrue(service.operation_by_name["bookings"].keyed)
        self.assertIsNone(service.max_deadline_s)

    def test_all_findings_are_reported_together(self) -> None:
        """Guards against a reader that reports only one finding per run."""
        broken = (
            VALID.replace("domain: ondo-a\n", "domain: ondo-x\n")
            .replace("gossip_port: 7100", "gossip_port: 0")
            .replace("hold", "keep")
            .replace("recipes: {}", "recipes: {cached: true}")
            .replace("listen: 127.0.0.1:8080", "listen: 127.0.0.1")
        )
        lines = render_findings(read_settings(broken, "s.yaml").failure()).splitlines()
        self.assertEqual(
            lines,
            [
                "s.yaml:2: domain: expected one of ondo-a, oyo-a",
                "s.yaml:3: listen: expected HOST:PORT",
                "s.yaml:4: gossip_port: expected a value from 1 to 65535",
                "s.yaml:16: services.batch-desk.on_isolation: expected one of yield, hold",
                "s.yaml:19: services.batch-desk.operations.recipes.cached: unknown field",
            ],
        )


if __name__ == "__main__":
    unittest.main()
