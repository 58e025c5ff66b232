import json
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from click.testing import CliRunner, Result
from gevent.pywsgi import WSGIServer

from damasktide_standins.platform.server import PlatformServer
from damasktidectl.cli import main

EXAMPLES = Path(__file__).resolve().parents[5] / "examples"
COCOA = str(EXAMPLES / "cocoa-commons")
NILE = str(EXAMPLES / "nile-auroral")


class CommandCase(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = PlatformServer()
        self.platform.start()
        self.addCleanup(self.platform.stop)

    def invoke(self, *arguments: str) -> Result:
        environment = {"DAMASKTIDE_TABLE_URL": self.platform.url, "DAMASKTIDE_AUTHOR": "ada"}
        return CliRunner().invoke(main, arguments, env=environment)

    def run_json(self, *arguments: str) -> tuple[int, dict[str, Any]]:
        result = self.invoke(*arguments, "--output", "json")
        return result.exit_code, json.loads(result.stdout)

    def set_faults(self, **faults: object) -> None:
        self.platform.app.change_faults(faults)


class ListCommandsTest(CommandCase):
    def test_examples_are_valid(self) -> None:
        """Guards against example lists that cannot be applied."""
        for directory in (COCOA, NILE):
            code, document = self.run_json("validate", directory)
            self.assertEqual((code, document["result"], document["customers"]), (0, "valid", 10))

    def test_invalid_files_show_all_findings_at_once(self) -> None:
        """Guards against reporting only one problem per run."""
        with TemporaryDirectory() as directory:
            Path(directory, "customers.yaml").write_text("customers: {a: {plan: p, x: 1}}")
            Path(directory, "plans.yaml").write_text("plans: {p: {regions: [r]}}")
            code, document = self.run_json("validate", directory)
            self.assertEqual((code, len(document["findings"])), (2, 5))
            table = self.invoke("validate", directory).output
            for finding in document["findings"]:
                self.assertIn(finding["message"], table)
            self.assertEqual(self.run_json("apply", directory)[0], 2)
        with TemporaryDirectory() as directory:
            code, document = self.run_json("validate", directory)
            self.assertEqual((code, len(document["findings"])), (2, 2))

    def test_apply_states_its_base_and_names_the_winner_of_a_race(self) -> None:
        """Guards against a conflict that does not name the author of the other change."""
        code, document = self.run_json("apply", COCOA)
        self.assertEqual((code, document["version"], document["based_on"]), (0, 1, 0))
        self.run_json("domain", "out", "ondo-a", "--author", "bisi")
        code, document = self.run_json("apply", NILE, "--based-on", "1")
        self.assertEqual((code, document["result"]), (1, "conflict"))
        self.assertEqual((document["other_author"], document["other_version"]), ("bisi", 2))
        self.assertEqual(document["based_on"], 1)
        self.assertEqual(self.run_json("status")[1]["version"], 2)

    def test_diff_shows_what_apply_would_change(self) -> None:
        """Guards against an apply whose effect cannot be previewed."""
        before = self.run_json("diff", COCOA)[1]["differences"]
        self.assertEqual({row["kind"] for row in before}, {"added"})
        self.run_json("apply", COCOA)
        self.assertEqual(self.run_json("diff", COCOA)[1], {"version": 1, "differences": []})
        kinds = {row["kind"] for row in self.run_json("diff", NILE)[1]["differences"]}
        self.assertEqual(kinds, {"added", "removed"})

    def test_repeat_after_an_unknown_outcome_applies_once(self) -> None:
        """Guards against applying a change twice after its response was lost."""
        arguments = ("apply", COCOA, "--based-on", "0", "--change-id", "first")
        self.run_json(*arguments)
        self.run_json("domain", "out", "ondo-a")
        code, document = self.run_json(*arguments)
        self.assertEqual((code, document["version"]), (0, 1))
        self.assertEqual(self.run_json("status")[1]["version"], 2)
        result = self.invoke("apply", COCOA, "--change-id", "first")
        self.assertEqual(result.exit_code, 2)
        self.assertIn("--based-on", result.output)


class StoreFailureTest(CommandCase):
    def test_store_that_is_not_reachable(self) -> None:
        """Guards against an outage that scripts mistake for success or for a conflict."""
        self.platform.stop()
        for arguments in (["status"], ["diff", COCOA], ["apply", COCOA], ["domain", "out", "a"]):
            code, document = self.run_json(*arguments)
            self.assertEqual((code, document["result"]), (3, "unavailable"))

    def test_unknown_outcome_explains_how_to_repeat_safely(self) -> None:
        """Guards against a repeat under a new id, which may apply the change twice."""
        self.run_json("apply", COCOA)
        self.set_faults(down=True)
        arguments = ("apply", NILE, "--based-on", "1", "--change-id", "first")
        code, document = self.run_json(*arguments)
        self.assertEqual((code, document["result"]), (3, "unresolved"))
        self.assertIn("--based-on 1 --change-id first", document["repeat"])

    def test_missing_object_is_not_reported_as_an_outage(self) -> None:
        """Guards against telling operators to wait when waiting does not help."""
        self.run_json("apply", COCOA)
        self.platform.app.object_by_path.clear()
        code, document = self.run_json("diff", COCOA)
        self.assertEqual((code, document["result"]), (1, "refused"))


class ServiceCommandsTest(CommandCase):
    def test_domains_and_instances_go_out_of_service_and_return(self) -> None:
        """Guards against an edit that reverts another one."""
        self.run_json("apply", COCOA)
        for arguments in (
            ["domain", "out", "ondo-a"],
            ["instance", "out", "ondo-b-1"],
            ["instance", "out", "ondo-b-2"],
            ["instance", "in", "ondo-b-1"],
        ):
            self.assertEqual(self.run_json(*arguments)[0], 0)
        code, document = self.run_json("domain", "out", "ondo-a")
        self.assertEqual((code, document["result"], document["version"]), (0, "unchanged", 5))
        status = self.run_json("status")[1]
        self.assertEqual(status["domains_out"], ["ondo-a"])
        self.assertEqual(status["instances_out"], ["ondo-b-2"])
        table = self.invoke("status").output
        self.assertRegex(table, r"domains_out +ondo-a\n")


class ExplainTest(CommandCase):
    def test_explanation_of_an_instance_is_shown(self) -> None:
        """Guards against a key whose special characters change the requested path."""
        requested_paths: list[str] = []

        def application(environ: dict[str, Any], start_response: Any) -> list[bytes]:
            requested_paths.append(environ["PATH_INFO"])
            start_response("200 OK", [("Content-Type", "application/json")])
            return [b'{"owner": "batch-desk-3", "pending": null}']

        server = WSGIServer(("127.0.0.1", 0), application, log=None)
        server.start()
        self.addCleanup(server.stop, 0)
        url = f"http://127.0.0.1:{server.server_port}"
        code, document = self.run_json(
            "explain", "batch-desk", "ondo:a/b?c", "--instance-url", url
        )
        self.assertEqual((code, document["owner"]), (0, "batch-desk-3"))
        self.assertEqual(requested_paths, ["/admin/explain/batch-desk/ondo:a/b?c"])
        server.stop(0)
        arguments = ("explain", "batch-desk", "k", "--instance-url", url)
        self.assertEqual(self.run_json(*arguments)[0], 1)


class HelpTest(CommandCase):
    def test_each_command_has_an_example(self) -> None:
        """Guards against a command whose help has no example."""
        commands = [["validate"], ["diff"], ["apply"], ["status"], ["explain"]]
        commands += [
            [group, direction] for group in ("domain", "instance") for direction in ("out", "in")
        ]
        for command in commands:
            output = self.invoke(*command, "--help").output
            self.assertIn(f"    damasktidectl {' '.join(command)} ", output.replace("\n", " \n"))


if __name__ == "__main__":
    unittest.main()
