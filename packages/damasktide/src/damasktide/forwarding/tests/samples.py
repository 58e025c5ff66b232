import time
from dataclasses import replace
from typing import Any

from damasktide.admission.request import AdmittedRequest
from damasktide.admission.tests.samples import BOOKING


def booking(
    timeout_s: float = 1.0, is_idempotent: bool = False, is_keyed: bool = True, **changes: Any
) -> AdmittedRequest:
    """Return an admitted booking request whose deadline is ``timeout_s`` seconds from now."""
    request = replace(BOOKING, deadline=time.monotonic() + timeout_s, **changes)
    return AdmittedRequest(request, "crew", frozenset({"ondo", "oyo"}), is_idempotent, is_keyed)
