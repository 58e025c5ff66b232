"""Header fields that the gateway reads and writes in messages of callers and targets."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from damasktide.dispatch.load_estimate import LoadReport
from damasktide.http1.messages import HeaderFields, RequestHead, ResponseHead
from damasktide.organisations.organisation import CallerIdentity


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata that the caller sends with a request.

    Attributes
    ----------
    request_id
        Id as received, or None if there is none.
    remaining_s
        Seconds for which the caller waits for the response, or None if not given.
    key
        Key of the request, or None if there is none.
    host
        Value of the Host field.
    api_key
        Key that identifies the caller's organisation, or None. It must not leave the instance.
    """

    request_id: bytes | None
    remaining_s: float | None
    key: int | None
    host: str
    api_key: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata that a target sends with a response.

    Attributes
    ----------
    request_id
        Id of the request to which it responds, or None if there is none.
    is_signed
        Whether the response carries the target's signature.
    is_not_run
        Whether the target reports that it has not run the request.
    is_misdirected
        Whether the target does not hold the key, or another target uses the address.
    is_encoded
        Whether the body has a content encoding, so that it is not as the target produced it.
    report
        Load report of the target, or None if the response carries none.
    is_leaving
        Whether the target announces that it is about to end.
    pause_s
        Seconds for which the target wants no requests of this instance.
    """

    request_id: bytes | None
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    report: LoadReport | None = None
    is_leaving: bool = False
    pause_s: float = 0.0


class Dialect(Protocol):
    """Translates between header fields of one platform and the metadata classes."""

    def request_metadata(self, head: RequestHead) -> RequestMetadata:
        """Return the metadata of a caller's request.

        Raises
        ------
        damasktide.http1.errors.BadRequestError
            If a field cannot be parsed.
        """

    def call_fields(
        self,
        head: RequestHead,
        target_id: str,
        remaining_s: float,
        identity: CallerIdentity | None,
    ) -> Iterable[tuple[bytes, bytes]]:
        """Return the header fields of the request to a target, without framing fields.

        Unless ``identity`` is None, the API key is removed and the field that names the
        organisation is set or removed, whatever the caller sent.
        """

    def response_metadata(self, head: ResponseHead) -> ResponseMetadata:
        """Return the metadata of a target's response."""

    def refusal_fields(
        self, request_id: bytes | None, retry_after_s: float | None
    ) -> HeaderFields:
        """Return the header fields of a refusal, without framing fields."""
