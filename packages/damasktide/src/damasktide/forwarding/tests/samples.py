import time

from damasktide.admission.request import AdmittedRequest, CallerRequest

BOOKING = CallerRequest(
    request_id="booking-1",
    has_given_id=True,
    attempt=1,
    method="POST",
    service="batch-desk",
    operation="bookings",
    key="line-1",
    query="",
    content_type="",
    body=b"",
    deadline=0.0,
    home_regions=None,
    token="secret",
)


def booking(
    timeout_s: float = 1.0, is_idempotent: bool = False, is_keyed: bool = True, **changes: object
) -> AdmittedRequest:
    """Return an admitted booking that ends ``timeout_s`` seconds from now."""
    fields = {name: getattr(BOOKING, name) for name in CallerRequest.__slots__}
    fields |= {"deadline": time.monotonic() + timeout_s, **changes}
    return AdmittedRequest(
        CallerRequest(**fields), "crew", frozenset({"ondo", "oyo"}), is_idempotent, is_keyed
    )
