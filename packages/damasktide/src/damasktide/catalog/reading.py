"""Reads the two lists from YAML and collects all findings."""

import re
from collections.abc import Iterator, Mapping

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from damasktide.catalog.lists import Catalog, Customer, Plan
from damasktide.runtime.documents import Section, load_document
from damasktide.runtime.findings import Finding

CUSTOMERS_FILE = "customers.yaml"
PLANS_FILE = "plans.yaml"
MAX_PLAN_BODY_BYTES = 64 * 1024 * 1024
MAX_REQUESTS_PER_S = 1e7

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_TOKEN_HASH = re.compile(r"[0-9a-f]{64}")


def read_lists(
    customers_text: str,
    plans_text: str,
    customers_file: str = CUSTOMERS_FILE,
    plans_file: str = PLANS_FILE,
) -> Result[Catalog, tuple[Finding, ...]]:
    """Read both lists.

    Parameters
    ----------
    customers_text, plans_text
        The YAML documents.
    customers_file, plans_file
        File names used in findings.

    Returns
    -------
    Result[Catalog, tuple[Finding, ...]]
        The catalog, or all findings of both documents.
    """
    findings: list[Finding] = []
    plans_section = _load_section(plans_text, plans_file, findings)
    customers_section = _load_section(customers_text, customers_file, findings)
    plans = tuple(_read_plans(plans_section)) if plans_section else ()
    # References to plans are not checked if the plans could not be parsed.
    plan_by_name = {plan.name: plan for plan in plans} if plans_section else None
    customers: tuple[Customer, ...] = ()
    if customers_section:
        customers = tuple(_read_customers(customers_section, plan_by_name))
    return Failure(tuple(sorted(findings))) if findings else Success(Catalog(customers, plans))


def _load_section(text: str, file: str, findings: list[Finding]) -> Section | None:
    loaded = load_document(text, file)
    if is_successful(loaded):
        return Section(loaded.unwrap(), findings)
    findings.extend(loaded.failure())
    return None


def _read_plans(root: Section) -> Iterator[Plan]:
    for name, section in root.sections("plans"):
        _check_name(section, name)
        yield Plan(
            name,
            _read_names(section, "regions"),
            _read_names(section, "services"),
            section.number("requests_per_second", low=0.1, high=MAX_REQUESTS_PER_S),
            section.integer("max_body_bytes", low=1, high=MAX_PLAN_BODY_BYTES),
        )
        section.report_unknown()
    root.report_unknown()


def _read_customers(root: Section, plan_by_name: Mapping[str, Plan] | None) -> Iterator[Customer]:
    name_by_token_hash: dict[str, str] = {}
    for name, section in root.sections("customers"):
        _check_name(section, name)
        customer = Customer(
            name,
            section.text("token_sha256"),
            section.text("plan"),
            _read_names(section, "home_regions", optional=True),
        )
        _check_token_hash(section, customer, name_by_token_hash)
        if plan_by_name is not None:
            _check_plan(section, customer, plan_by_name)
        section.report_unknown()
        yield customer
    root.report_unknown()


def _check_name(section: Section, name: str) -> None:
    if not _NAME.fullmatch(name):
        section.report(section.location, "a name has 1 to 63 characters of a-z, 0-9 and -")


def _check_token_hash(
    section: Section, customer: Customer, name_by_token_hash: dict[str, str]
) -> None:
    token_hash = customer.token_sha256
    if not token_hash:
        return
    location = section.location_of("token_sha256")
    if not _TOKEN_HASH.fullmatch(token_hash):
        section.report(location, "expected 64 hexadecimal digits in lower case")
    elif token_hash in name_by_token_hash:
        other = name_by_token_hash[token_hash]
        section.report(location, f"customer {other} has the same token")
    name_by_token_hash.setdefault(token_hash, customer.name)


def _check_plan(section: Section, customer: Customer, plan_by_name: Mapping[str, Plan]) -> None:
    if not customer.plan:
        return
    plan = plan_by_name.get(customer.plan)
    if plan is None:
        section.report(section.location_of("plan"), f"unknown plan {customer.plan!r}")
        return
    for region in customer.home_regions:
        if region not in plan.regions:
            message = f"region {region!r} is not in plan {plan.name!r}"
            section.report(section.location_of("home_regions"), message)


def _read_names(section: Section, key: str, optional: bool = False) -> tuple[str, ...]:
    present = section.location_of(key) != section.location
    nodes = tuple(section.text_nodes(key, optional))
    names = {node.value for node in nodes}
    if present and not nodes:
        section.report(section.location_of(key), "expected at least one name")
    if len(names) != len(nodes):
        section.report(section.location_of(key), "a name is given twice")
    for node in nodes:
        if not _NAME.fullmatch(node.value):
            section.report(node.location, "a name has 1 to 63 characters of a-z, 0-9 and -")
    return tuple(sorted(names))
