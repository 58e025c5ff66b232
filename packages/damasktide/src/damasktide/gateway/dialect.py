"""What the gateway reads from and writes to messages of callers and targets."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from damasktide.dispatch.load_estimate import LoadReport
from damasktide.http1.messages import HeaderFields, RequestHead, ResponseHead


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller says of its request.

    Attributes
    ----------
    request_id
        Id as received, or None.
    remaining_s
        Time for which the caller waits, or None if it does not say.
    key
        Key of the request, or None.
    host
        Host that the caller asked for.
    """

    request_id: bytes | None
    remaining_s: float | None
    key: int | None
    host: str


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What a target says with its response.

    Attributes
    ----------
    request_id
        Id of the request that it answers, or None.
    is_signed
        Whether the response carries the target's signature.
    is_not_run
        Whether the target says that it has not run the request.
    is_misdirected
        Whether the target is another one, or does not hold the key.
    is_encoded
        Whether the body is not the one that the target made.
    report
        Load of the target, if it tells.
    """

    request_id: bytes | None
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    report: LoadReport | None = None


class Dialect(Protocol):
    """Translates the header fields that one platform uses."""

    def request_metadata(self, head: RequestHead) -> RequestMetadata:
        """Return what a caller says.

        Raises
        ------
        damasktide.http1.errors.BadRequestError
            If a field cannot be read.
        """

    def call_fields(
        self, head: RequestHead, target_id: str, remaining_s: float
    ) -> Iterable[tuple[bytes, bytes]]:
        """Return the fields of the request that goes to a target, framing left out."""

    def response_metadata(self, head: ResponseHead) -> ResponseMetadata:
        """Return what a target says."""

    def refusal_fields(
        self, request_id: bytes | None, retry_after_s: float | None
    ) -> HeaderFields:
        """Return the fields of an answer of the gateway's own, framing left out."""
