import unittest
from dataclasses import replace

from damasktide.admission.checks import admit
from damasktide.admission.refusals import Outcome, Refusal, RefusalCode
from damasktide.admission.request import AdmittedRequest, CallerRequest
from damasktide.admission.tests.samples import BOOKING
from damasktide.catalog.lists import Catalog, Customer, Plan
from damasktide.catalog.plan_checks import hash_token
from damasktide.settings.model import OperationSettings, ServiceSettings

OPERATIONS = {
    "bookings": OperationSettings(keyed=True, idempotent=None),
    "searches": OperationSettings(keyed=False, idempotent=True),
}
SERVICES = {"batch-desk": ServiceSettings("batch-desk", 48, "yield", True, None, OPERATIONS)}
PLAN = Plan("basic", ("ondo", "oyo"), ("batch-desk",), 10.0, 100)
CATALOG = Catalog((Customer("crew", hash_token("secret"), "basic"),), (PLAN,))


class AdmitTest(unittest.TestCase):
    def admitted(self, request: CallerRequest) -> AdmittedRequest:
        result = admit(request, CATALOG, SERVICES)
        assert isinstance(result, AdmittedRequest), result
        return result

    def refusal_code(self, request: CallerRequest) -> RefusalCode:
        """Return the code of the refusal, and assert that its outcome is "not run"."""
        result = admit(request, CATALOG, SERVICES)
        assert isinstance(result, Refusal)
        self.assertIs(result.code.outcome, Outcome.NOT_RUN)
        return result.code

    def test_method_or_settings_decide_whether_a_request_is_idempotent(self) -> None:
        """Guards against a booking that is retried as if it were idempotent."""
        self.assertFalse(self.admitted(BOOKING).is_idempotent)
        self.assertTrue(self.admitted(replace(BOOKING, method="PUT")).is_idempotent)
        search = replace(BOOKING, operation="searches", key=None, is_id_from_caller=False)
        self.assertTrue(self.admitted(search).is_idempotent)

    def test_request_that_is_not_idempotent_needs_an_id_from_the_caller(self) -> None:
        """Guards against a booking whose repeats cannot be recognised."""
        self.assertIs(
            self.refusal_code(replace(BOOKING, is_id_from_caller=False)), RefusalCode.BAD_REQUEST
        )

    def test_keyed_operation_needs_a_key(self) -> None:
        """Guards against a booking that is sent to an arbitrary server."""
        self.assertIs(self.refusal_code(replace(BOOKING, key=None)), RefusalCode.BAD_REQUEST)

    def test_home_regions_narrow_the_plan(self) -> None:
        """Guards against a request that is served outside its home regions."""
        at_home = replace(BOOKING, home_regions=frozenset({"oyo"}))
        self.assertEqual(self.admitted(at_home).allowed_regions, frozenset({"oyo"}))
        self.assertEqual(self.admitted(BOOKING).allowed_regions, frozenset({"ondo", "oyo"}))
        elsewhere = replace(BOOKING, home_regions=frozenset({"north-delta"}))
        self.assertIs(self.refusal_code(elsewhere), RefusalCode.REGION_NOT_IN_PLAN)

    def test_customer_service_and_operation_have_their_own_codes(self) -> None:
        """Guards against refusals that give the caller the wrong reason."""
        self.assertIs(self.refusal_code(replace(BOOKING, token="x")), RefusalCode.UNKNOWN_CUSTOMER)
        self.assertIs(
            self.refusal_code(replace(BOOKING, service="x")), RefusalCode.SERVICE_NOT_IN_PLAN
        )
        self.assertIs(
            self.refusal_code(replace(BOOKING, operation="x")), RefusalCode.UNKNOWN_SERVICE
        )
        self.assertIs(
            self.refusal_code(replace(BOOKING, body=b"x" * 101)), RefusalCode.BODY_TOO_LARGE
        )


if __name__ == "__main__":
    unittest.main()
