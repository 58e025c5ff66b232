"""All refusals, and what each of them implies about whether the request ran."""

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """Whether a refused request ran."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    ALREADY_RUN = "already_run"


class RefusalCode(Enum):
    """Codes of refusals; the values are sent to callers and must not change."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_CUSTOMER = "unknown_customer"
    SERVICE_NOT_IN_PLAN = "service_not_in_plan"
    REGION_NOT_IN_PLAN = "region_not_in_plan"
    UNKNOWN_SERVICE = "unknown_service"
    BODY_TOO_LARGE = "body_too_large"
    HEADER_TOO_LARGE = "header_too_large"
    VOLUME_EXCEEDED = "volume_exceeded"
    OVERLOADED = "overloaded"
    NO_OWNER = "no_owner"
    NO_TARGET = "no_target"
    REGION_UNAVAILABLE = "region_unavailable"
    DRAINING = "draining"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    OUTCOME_UNKNOWN = "outcome_unknown"
    DUPLICATE_IN_PROGRESS = "duplicate_in_progress"
    ANSWER_INCOMPLETE = "answer_incomplete"
    OUTCOME_KNOWN = "outcome_known"

    @property
    def status(self) -> int:
        """HTTP status of the refusal."""
        return _STATUS_BY_CODE[self]

    @property
    def outcome(self) -> Outcome:
        """Whether the refused request ran."""
        return _OUTCOME_BY_CODE.get(self, Outcome.NOT_RUN)


_STATUS_BY_CODE = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.UNKNOWN_CUSTOMER: 401,
    RefusalCode.SERVICE_NOT_IN_PLAN: 403,
    RefusalCode.REGION_NOT_IN_PLAN: 403,
    RefusalCode.UNKNOWN_SERVICE: 404,
    RefusalCode.BODY_TOO_LARGE: 413,
    RefusalCode.HEADER_TOO_LARGE: 431,
    RefusalCode.VOLUME_EXCEEDED: 429,
    RefusalCode.OVERLOADED: 503,
    RefusalCode.NO_OWNER: 503,
    RefusalCode.NO_TARGET: 503,
    RefusalCode.REGION_UNAVAILABLE: 503,
    RefusalCode.DRAINING: 503,
    RefusalCode.DEADLINE_TOO_SHORT: 504,
    RefusalCode.OUTCOME_UNKNOWN: 504,
    RefusalCode.DUPLICATE_IN_PROGRESS: 409,
    RefusalCode.ANSWER_INCOMPLETE: 502,
    RefusalCode.OUTCOME_KNOWN: 409,
}

_OUTCOME_BY_CODE = {
    RefusalCode.OUTCOME_UNKNOWN: Outcome.UNKNOWN,
    RefusalCode.DUPLICATE_IN_PROGRESS: Outcome.UNKNOWN,
    RefusalCode.ANSWER_INCOMPLETE: Outcome.UNKNOWN,
    RefusalCode.OUTCOME_KNOWN: Outcome.ALREADY_RUN,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """A typed refusal of a request.

    Attributes
    ----------
    code
        Reason for the refusal.
    detail
        Explanation for the caller, with the location of invalid input.
    retry_after_s
        Seconds after which a retry may succeed, or None.
    """

    code: RefusalCode
    detail: str
    retry_after_s: int | None = None
