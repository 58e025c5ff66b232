"""Runs the operators' tool against a deployment under load."""

import json
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from damasktide_standins.cluster.layout import CUSTOMERS, plans
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.registry import CheckResult, scenario

EXIT_OK = 0
EXIT_FINDINGS = 2

# Three errors: an invalid token hash, an unknown plan and an unknown field.
BROKEN_CUSTOMERS = """\
customers:
  ondo-cooperative:
    token_sha256: short
    plan: absent
    color: red
"""


@scenario("damasktidectl against a deployment", 4, 11)
def operators_tool(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Validate, apply, show the status, take a domain out of and into service, explain a key."""
    domain = next(iter(cluster.layout.region_by_domain))
    service = cluster.layout.services[0].name
    url = next(iter(cluster.instance_by_name.values())).url
    with TemporaryDirectory() as directory:
        path = Path(directory)
        (path / "plans.yaml").write_text(plans(cluster.layout))
        (path / "customers.yaml").write_text(BROKEN_CUSTOMERS)
        code, document = _run(cluster, "validate", directory)
        problems = _expect("validate", (code, len(document["findings"])), (EXIT_FINDINGS, 3))
        (path / "customers.yaml").write_text(CUSTOMERS)
        problems += _expect("apply", _run(cluster, "apply", directory)[0], EXIT_OK)
    code, before = _run(cluster, "status")
    problems += _expect("status", code, EXIT_OK)
    code, out = _run(cluster, "domain", "out", domain)
    problems += _expect("domain out", (code, out["version"]), (EXIT_OK, before["version"] + 1))
    after = _run(cluster, "status")[1]
    problems += _expect("status", domain in json.dumps(after), True)
    problems += _expect("domain in", _run(cluster, "domain", "in", domain)[0], EXIT_OK)
    arguments = ("explain", service, callers.keys[0], "--instance-url", url)
    code, explained = _run(cluster, *arguments)
    problems += _expect("explain", (code, explained.get("key")), (EXIT_OK, callers.keys[0]))
    return CheckResult(tuple(problems))


def _run(cluster: LocalCluster, *arguments: str) -> tuple[int, dict[str, Any]]:
    command = [sys.executable, "-m", "damasktidectl", *arguments, "--output", "json"]
    if arguments[0] not in ("validate", "explain"):
        command += ["--table-url", f"http://127.0.0.1:{cluster.platform_port}"]
    process = subprocess.run(command, capture_output=True, text=True, check=False)
    if not process.stdout:
        raise RuntimeError(f"{' '.join(arguments)}: {process.stderr}")
    return process.returncode, json.loads(process.stdout)


def _expect(what: str, actual: object, expected: object) -> list[str]:
    return [] if actual == expected else [f"{what}: {actual!r}, expected {expected!r}"]
