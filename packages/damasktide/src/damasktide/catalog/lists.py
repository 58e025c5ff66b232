"""The two lists that operators maintain: customers and plans."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from operator import attrgetter
from types import MappingProxyType


@dataclass(frozen=True, slots=True)
class Plan:
    """Regions, services and limits of the customers of a plan.

    Attributes
    ----------
    name
        Name of the plan.
    regions, services
        Permitted regions and services, sorted by name.
    requests_per_second
        Rate limit of a customer, summed over all instances.
    max_body_bytes
        Maximum size of a request body.
    """

    name: str
    regions: tuple[str, ...]
    services: tuple[str, ...]
    requests_per_second: float
    max_body_bytes: int


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer with its credentials and plan.

    Attributes
    ----------
    name
        Name of the customer.
    token_sha256
        SHA-256 of the bearer token, 64 hexadecimal digits.
    plan
        Name of the plan.
    home_regions
        Regions to which its requests are restricted, sorted; empty if they are not restricted.
    """

    name: str
    token_sha256: str
    plan: str
    home_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Catalog:
    """Customers and plans, with the indexes used on the request path.

    Attributes
    ----------
    customers, plans
        Sorted by name.
    customer_by_token_hash
        Index of the customers by ``token_sha256``.
    customer_by_name, plan_by_name
        Indexes by name.
    """

    customers: tuple[Customer, ...]
    plans: tuple[Plan, ...]
    customer_by_token_hash: Mapping[str, Customer] = field(init=False, repr=False, compare=False)
    customer_by_name: Mapping[str, Customer] = field(init=False, repr=False, compare=False)
    plan_by_name: Mapping[str, Plan] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        customers = tuple(sorted(self.customers, key=attrgetter("name")))
        plans = tuple(sorted(self.plans, key=attrgetter("name")))
        derived = {
            "customers": customers,
            "plans": plans,
            "customer_by_token_hash": MappingProxyType({c.token_sha256: c for c in customers}),
            "customer_by_name": MappingProxyType({c.name: c for c in customers}),
            "plan_by_name": MappingProxyType({plan.name: plan for plan in plans}),
        }
        for name, value in derived.items():
            object.__setattr__(self, name, value)
