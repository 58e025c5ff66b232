"""Checks a request against the accepted catalog and the settings of the services."""

from collections.abc import Mapping

from returns.pipeline import is_successful

from damasktide.admission.refusals import Refusal, RefusalCode
from damasktide.admission.request import AdmittedRequest, CallerRequest
from damasktide.catalog.lists import Catalog
from damasktide.catalog.plan_checks import check_plan, hash_token
from damasktide.settings.model import OperationSettings, ServiceSettings

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})


def admit(
    request: CallerRequest, catalog: Catalog, service_by_name: Mapping[str, ServiceSettings]
) -> AdmittedRequest | Refusal:
    """Return the admitted request, or the refusal.

    Parameters
    ----------
    request
        The caller's request.
    catalog
        The accepted catalog of customers and plans.
    service_by_name
        Settings of the services.
    """
    checked = check_plan(
        catalog,
        hash_token(request.token),
        request.service,
        tuple(sorted(request.home_regions or ())),
        len(request.body),
    )
    if not is_successful(checked):
        return checked.failure()
    entitlement = checked.unwrap()
    service = service_by_name.get(request.service)
    operation = service.operation_by_name.get(request.operation) if service else None
    if operation is None:
        detail = f"path: no operation {request.service}/{request.operation}"
        return Refusal(RefusalCode.UNKNOWN_SERVICE, detail)
    is_idempotent = _is_idempotent(request, operation)
    if operation.keyed and request.key is None:
        return Refusal(RefusalCode.BAD_REQUEST, "path: this operation needs a key")
    if not is_idempotent and not request.is_id_from_caller:
        detail = "Idempotency-Key: required for an operation that is not idempotent"
        return Refusal(RefusalCode.BAD_REQUEST, detail)
    return AdmittedRequest(
        request=request,
        customer=entitlement.customer.name,
        allowed_regions=frozenset(entitlement.regions),
        is_idempotent=is_idempotent,
        is_keyed=operation.keyed,
    )


def _is_idempotent(request: CallerRequest, operation: OperationSettings) -> bool:
    if operation.idempotent is not None:
        return operation.idempotent
    return request.method in _IDEMPOTENT_METHODS
