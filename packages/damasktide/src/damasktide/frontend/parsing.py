"""Parses callers' HTTP requests; each refusal names the location of the invalid input."""

import re
import time
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

from damasktide.admission.refusals import Refusal, RefusalCode
from damasktide.admission.request import CallerRequest

METHODS = frozenset({"GET", "HEAD", "PUT", "POST", "DELETE"})

_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
_NAME = re.compile(r"[a-z0-9-]{1,64}")
_MAX_KEY_CHARS = 512
_MAX_TIMEOUT_MS = 60_000
_DEFAULT_TIMEOUT_MS = 5_000
_MAX_ATTEMPT = 1_000
_BEARER = "Bearer "


@dataclass(frozen=True, slots=True)
class RequestBounds:
    """Size limits of requests.

    Attributes
    ----------
    max_body_bytes
        Maximum size of the body.
    max_header_bytes
        Maximum total size of all header names and values.
    """

    max_body_bytes: int
    max_header_bytes: int


class _BadInputError(Exception):
    """Carries the refusal of a malformed request."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def parse_request(environ: Mapping[str, Any], bounds: RequestBounds) -> CallerRequest | Refusal:
    """Return the request of a WSGI environment, or the refusal if it is malformed."""
    try:
        return _parse(environ, bounds)
    except _BadInputError as error:
        return error.refusal


def _parse(environ: Mapping[str, Any], bounds: RequestBounds) -> CallerRequest:
    _check_header_size(environ, bounds.max_header_bytes)
    method = environ["REQUEST_METHOD"]
    if method not in METHODS:
        raise _bad_request("method", f"{method} is not supported")
    service, operation, key = _split_path(environ["PATH_INFO"])
    request_id = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if request_id and not _REQUEST_ID.fullmatch(request_id):
        raise _bad_request("Idempotency-Key", "expected 1 to 64 characters of [A-Za-z0-9._-]")
    timeout_ms = _parse_integer(
        environ, "Damasktide-Timeout-Ms", _DEFAULT_TIMEOUT_MS, 1, _MAX_TIMEOUT_MS
    )
    return CallerRequest(
        request_id=request_id or uuid.uuid4().hex,
        is_id_from_caller=bool(request_id),
        attempt=_parse_integer(environ, "Damasktide-Attempt", 1, 1, _MAX_ATTEMPT),
        method=method,
        service=service,
        operation=operation,
        key=key,
        query=environ.get("QUERY_STRING", ""),
        content_type=environ.get("CONTENT_TYPE", ""),
        body=_read_body(environ, bounds.max_body_bytes),
        deadline=time.monotonic() + timeout_ms / 1000,
        home_regions=_home_regions(environ.get("HTTP_DAMASKTIDE_HOME_REGIONS")),
        token=_token(environ.get("HTTP_AUTHORIZATION", "")),
    )


def _bad_request(location: str, reason: str) -> _BadInputError:
    return _BadInputError(Refusal(RefusalCode.BAD_REQUEST, f"{location}: {reason}"))


def _check_header_size(environ: Mapping[str, Any], limit: int) -> None:
    size = sum(
        len(name) + len(value)
        for name, value in environ.items()
        if name.startswith("HTTP_") and isinstance(value, str)
    )
    if size > limit:
        detail = f"headers: {size} bytes, at most {limit} are accepted"
        raise _BadInputError(Refusal(RefusalCode.HEADER_TOO_LARGE, detail))


def _split_path(path: str) -> tuple[str, str, str | None]:
    segments = path.split("/", 3)
    if len(segments) < 3 or segments[0]:
        raise _bad_request("path", "expected /SERVICE/OPERATION[/KEY]")
    service, operation = segments[1], segments[2]
    if not _NAME.fullmatch(service) or not _NAME.fullmatch(operation):
        raise _bad_request("path", "service and operation are 1 to 64 characters of [a-z0-9-]")
    key = unquote(segments[3]) if len(segments) > 3 and segments[3] else None
    if key is not None and (len(key) > _MAX_KEY_CHARS or not key.isprintable()):
        raise _bad_request("path", f"the key is at most {_MAX_KEY_CHARS} printable characters")
    return service, operation, key


def _parse_integer(
    environ: Mapping[str, Any], header: str, default: int, low: int, high: int
) -> int:
    text = environ.get("HTTP_" + header.upper().replace("-", "_"))
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or not low <= int(text) <= high:
        raise _bad_request(header, f"expected a whole number from {low} to {high}")
    return int(text)


def _home_regions(text: str | None) -> frozenset[str] | None:
    if text is None:
        return None
    regions = frozenset(region.strip() for region in text.split(","))
    if not all(_NAME.fullmatch(region) for region in regions):
        raise _bad_request("Damasktide-Home-Regions", "expected region names separated by commas")
    return regions


def _token(authorization: str) -> str:
    if not authorization.startswith(_BEARER):
        detail = "Authorization: expected a bearer token"
        raise _BadInputError(Refusal(RefusalCode.UNKNOWN_CUSTOMER, detail))
    return authorization[len(_BEARER) :].strip()


def _read_body(environ: Mapping[str, Any], limit: int) -> bytes:
    """Read the complete body; a truncated body is malformed and is never forwarded."""
    length_text = environ.get("CONTENT_LENGTH") or ""
    if length_text and not length_text.isdigit():
        raise _bad_request("Content-Length", "expected a whole number")
    length = int(length_text) if length_text else None
    if length is not None and length > limit:
        raise _body_too_large(limit)
    if length is None and "HTTP_TRANSFER_ENCODING" not in environ:
        return b""
    body: bytes = environ["wsgi.input"].read(limit + 1 if length is None else length)
    if len(body) > limit:
        raise _body_too_large(limit)
    if length is not None and len(body) < length:
        raise _bad_request("body", f"ended after {len(body)} of {length} bytes")
    return body


def _body_too_large(limit: int) -> _BadInputError:
    detail = f"body: at most {limit} bytes are accepted"
    return _BadInputError(Refusal(RefusalCode.BODY_TOO_LARGE, detail))
