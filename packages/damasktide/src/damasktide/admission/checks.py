"""Checks a request against the accepted lists and the settings of the services."""

from collections.abc import Mapping
from hashlib import sha256

from damasktide.admission.refusals import Refusal, RefusalCode
from damasktide.admission.request import AdmittedRequest, CallerRequest
from damasktide.catalog.model import Catalog, Customer, Plan
from damasktide.settings.model import OperationSettings, ServiceSettings

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})


def admit(
    request: CallerRequest,
    has_request_id: bool,
    catalog: Catalog,
    service_by_name: Mapping[str, ServiceSettings],
) -> AdmittedRequest | Refusal:
    """Return the admitted request, or why it is refused.

    Parameters
    ----------
    request
        The caller's request.
    has_request_id
        Whether the caller gave the request id.
    catalog
        The accepted lists.
    service_by_name
        Settings of the services.
    """
    customer = catalog.customer_by_token_hash.get(sha256(request.token.encode()).hexdigest())
    if customer is None:
        return Refusal(RefusalCode.UNKNOWN_CUSTOMER, "Authorization: unknown token")
    service = service_by_name.get(request.service)
    operation = service.operation_by_name.get(request.operation) if service else None
    if service is None or operation is None:
        detail = f"path: no operation {request.service}/{request.operation}"
        return Refusal(RefusalCode.UNKNOWN_SERVICE, detail)
    plan = catalog.plan_by_name[customer.plan]
    refusal = _check_plan(request, customer, plan) or _check_operation(
        request, has_request_id, operation
    )
    if refusal is not None:
        return refusal
    return AdmittedRequest(
        request=request,
        customer=customer.name,
        allowed_regions=_allowed_regions(request, customer, plan),
        is_idempotent=_is_idempotent(request, operation),
        is_keyed=operation.keyed,
    )


def _check_plan(request: CallerRequest, customer: Customer, plan: Plan) -> Refusal | None:
    if request.service not in plan.services:
        detail = f"plan {plan.name} does not include service {request.service}"
        return Refusal(RefusalCode.SERVICE_NOT_IN_PLAN, detail)
    asked = request.home_regions or frozenset()
    if not asked <= plan.regions or (
        customer.home_regions and not asked <= customer.home_regions
    ):
        detail = "Damasktide-Home-Regions: names a region that the customer may not use"
        return Refusal(RefusalCode.REGION_NOT_IN_PLAN, detail)
    if len(request.body) > plan.max_body_bytes:
        detail = f"body: plan {plan.name} allows {plan.max_body_bytes} bytes"
        return Refusal(RefusalCode.BODY_TOO_LARGE, detail)
    return None


def _check_operation(
    request: CallerRequest, has_request_id: bool, operation: OperationSettings
) -> Refusal | None:
    if operation.keyed and request.key is None:
        return Refusal(RefusalCode.BAD_REQUEST, "path: this operation needs a key")
    if not has_request_id and not _is_idempotent(request, operation):
        detail = "Idempotency-Key: required for an operation that is not idempotent"
        return Refusal(RefusalCode.BAD_REQUEST, detail)
    return None


def _is_idempotent(request: CallerRequest, operation: OperationSettings) -> bool:
    if operation.idempotent is not None:
        return operation.idempotent
    return request.method in _IDEMPOTENT_METHODS


def _allowed_regions(
    request: CallerRequest, customer: Customer, plan: Plan
) -> frozenset[str]:
    home_regions = request.home_regions or customer.home_regions
    return plan.regions & home_regions if home_regions else plan.regions
