"""The operators' tool against a running deployment."""

import json
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from damasktide_standins.cluster.layout import CUSTOMERS, plans
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.registry import Findings, scenario

DONE = 0
FINDINGS = 2

# A token hash that is no hash, an unknown plan and an unknown field.
BROKEN_CUSTOMERS = """\
customers:
  ondo-cooperative:
    token_sha256: short
    plan: absent
    color: red
"""


@scenario("damasktidectl against a deployment", 4, 11)
def operators_tool(cluster: LocalCluster, callers: Callers) -> Findings:
    """Validate, apply, show the status, take a domain out and in, and explain a key."""
    domain = next(iter(cluster.layout.region_by_domain))
    service = cluster.layout.services[0].name
    url = next(iter(cluster.instance_by_name.values())).url
    with TemporaryDirectory() as text:
        path = Path(text)
        (path / "plans.yaml").write_text(plans(cluster.layout))
        (path / "customers.yaml").write_text(BROKEN_CUSTOMERS)
        code, document = _run(cluster, "validate", text)
        problems = _expect("validate", (code, len(document["findings"])), (FINDINGS, 3))
        (path / "customers.yaml").write_text(CUSTOMERS)
        problems += _expect("apply", _run(cluster, "apply", text)[0], DONE)
    code, before = _run(cluster, "status")
    problems += _expect("status", code, DONE)
    code, out = _run(cluster, "domain", "out", domain)
    problems += _expect("domain out", (code, out["version"]), (DONE, before["version"] + 1))
    shown = _run(cluster, "status")[1]
    problems += _expect("status", domain in json.dumps(shown), True)
    problems += _expect("domain in", _run(cluster, "domain", "in", domain)[0], DONE)
    arguments = ("explain", service, callers.keys[0], "--instance-url", url)
    code, explained = _run(cluster, *arguments)
    problems += _expect("explain", (code, explained.get("key")), (DONE, callers.keys[0]))
    return Findings(tuple(problems))


def _run(cluster: LocalCluster, *arguments: str) -> tuple[int, dict[str, Any]]:
    command = [sys.executable, "-m", "damasktidectl", *arguments, "--output", "json"]
    if arguments[0] not in ("validate", "explain"):
        command += ["--table-url", f"http://127.0.0.1:{cluster.platform_port}"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if not done.stdout:
        raise RuntimeError(f"{' '.join(arguments)}: {done.stderr}")
    return done.returncode, json.loads(done.stdout)


def _expect(what: str, seen: object, expected: object) -> list[str]:
    return [] if seen == expected else [f"{what}: {seen!r}, expected {expected!r}"]
