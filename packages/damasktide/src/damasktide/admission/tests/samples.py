from damasktide.admission.request import CallerRequest

BOOKING = CallerRequest(
    request_id="booking-1",
    is_id_from_caller=True,
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
