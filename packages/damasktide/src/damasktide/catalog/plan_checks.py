"""Checks of a request against the customer's plan."""

import hashlib
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from damasktide.admission.refusals import Refusal, RefusalCode
from damasktide.catalog.lists import Catalog, Customer, Plan


@dataclass(frozen=True, slots=True)
class Entitlement:
    """Customer, plan and permitted regions of a request.

    Attributes
    ----------
    customer, plan
        The customer that sends the request, and its plan.
    home_regions
        Regions to which the request is restricted; empty if it is not restricted.
    """

    customer: Customer
    plan: Plan
    home_regions: tuple[str, ...]

    @property
    def regions(self) -> tuple[str, ...]:
        """Regions in which the request may be served."""
        return self.home_regions or self.plan.regions


def hash_token(token: str) -> str:
    """Return the SHA-256 of a bearer token in hexadecimal, as the catalog contains it."""
    return hashlib.sha256(token.encode()).hexdigest()


def check_plan(
    catalog: Catalog,
    token_hash: str,
    service: str,
    requested_home_regions: tuple[str, ...],
    body_bytes: int,
) -> Result[Entitlement, Refusal]:
    """Check a request against the plan of its customer.

    Parameters
    ----------
    catalog
        The accepted catalog of customers and plans.
    token_hash
        SHA-256 of the bearer token in hexadecimal.
    service
        Service that the request names.
    requested_home_regions
        Home regions that the request names; empty if it names none. They can narrow the home
        regions of the customer, but never widen them.
    body_bytes
        Size of the request body.
    """
    customer = catalog.customer_by_token_hash.get(token_hash)
    if customer is None:
        return _refuse(
            RefusalCode.UNKNOWN_CUSTOMER, "Authorization: the token belongs to no customer"
        )
    plan = catalog.plan_by_name[customer.plan]
    if service not in plan.services:
        detail = f"plan {plan.name} does not include service {service}"
        return _refuse(RefusalCode.SERVICE_NOT_IN_PLAN, detail)
    allowed = customer.home_regions or plan.regions
    outside = [region for region in requested_home_regions if region not in allowed]
    if outside:
        detail = f"home region {outside[0]} is not open to customer {customer.name}"
        return _refuse(RefusalCode.REGION_NOT_IN_PLAN, detail)
    if body_bytes > plan.max_body_bytes:
        detail = f"body: more than {plan.max_body_bytes} bytes"
        return _refuse(RefusalCode.BODY_TOO_LARGE, detail)
    home_regions = requested_home_regions or customer.home_regions
    return Success(Entitlement(customer, plan, home_regions))


def _refuse(code: RefusalCode, detail: str) -> Result[Entitlement, Refusal]:
    return Failure(Refusal(code, detail))
