import io
import unittest
from typing import Any

from damasktide.admission.refusals import Refusal
from damasktide.admission.request import CallerRequest
from damasktide.frontend.parsing import RequestBounds, parse_request

BOUNDS = RequestBounds(max_body_bytes=100, max_header_bytes=1000)


def environ(**changes: Any) -> dict[str, Any]:
    base: dict[str, Any] = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/batch-desk/bookings/oyo:line-3",
        "HTTP_AUTHORIZATION": "Bearer secret",
        "HTTP_IDEMPOTENCY_KEY": "booking-1",
        "CONTENT_LENGTH": "2",
        "wsgi.input": io.BytesIO(b"{}"),
    }
    return {**base, **changes}


class ParseRequestTest(unittest.TestCase):
    def refused(self, **changes: Any) -> str:
        result = parse_request(environ(**changes), BOUNDS)
        assert isinstance(result, Refusal), result
        return f"{result.code.value}: {result.detail.partition(':')[0]}"

    def test_valid_request_is_parsed(self) -> None:
        """Guards against a field that is read from the wrong part of the request."""
        request = parse_request(environ(HTTP_DAMASKTIDE_HOME_REGIONS="oyo, ondo"), BOUNDS)
        assert isinstance(request, CallerRequest)
        self.assertEqual([request.service, request.key], ["batch-desk", "oyo:line-3"])
        self.assertEqual([request.request_id, request.attempt], ["booking-1", 1])
        self.assertEqual(request.home_regions, frozenset({"oyo", "ondo"}))
        self.assertEqual([request.token, request.body], ["secret", b"{}"])

    def test_refusal_names_the_location_of_invalid_input(self) -> None:
        """Guards against invalid input that is accepted, or refused without its location."""
        bad = "bad_request"
        self.assertEqual(self.refused(PATH_INFO="/batch-desk"), f"{bad}: path")
        self.assertEqual(
            self.refused(HTTP_DAMASKTIDE_TIMEOUT_MS="-5"), f"{bad}: Damasktide-Timeout-Ms"
        )
        self.assertEqual(self.refused(HTTP_DAMASKTIDE_ATTEMPT="0"), f"{bad}: Damasktide-Attempt")
        self.assertEqual(self.refused(HTTP_IDEMPOTENCY_KEY="a b"), f"{bad}: Idempotency-Key")
        self.assertEqual(self.refused(REQUEST_METHOD="PATCH"), f"{bad}: method")
        self.assertEqual(self.refused(HTTP_AUTHORIZATION=""), "unknown_customer: Authorization")
        self.assertEqual(self.refused(HTTP_X="x" * 1001), "header_too_large: headers")

    def test_body_is_bounded_and_complete(self) -> None:
        """Guards against a truncated body that is forwarded as if it were complete."""
        self.assertEqual(self.refused(CONTENT_LENGTH="101"), "body_too_large: body")
        chunked = {"CONTENT_LENGTH": "", "HTTP_TRANSFER_ENCODING": "chunked"}
        oversized = {**chunked, "wsgi.input": io.BytesIO(b"x" * 200)}
        self.assertEqual(self.refused(**oversized), "body_too_large: body")
        self.assertEqual(self.refused(CONTENT_LENGTH="50"), "bad_request: body")


if __name__ == "__main__":
    unittest.main()
