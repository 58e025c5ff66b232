"""Encodes and decodes requests forwarded between instances, and their results."""

import time
from pathlib import Path
from typing import Any

import capnp

from damasktide.admission.refusals import Refusal, RefusalCode
from damasktide.admission.request import AdmittedRequest, BackendResponse, CallerRequest

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))

_NO_RETRY_AFTER = -1


def encode_request(admitted: AdmittedRequest) -> bytes:
    """Encode an admitted request, with its deadline as the remaining time."""
    request = admitted.request
    remaining_ms = max(0, int((request.deadline - time.monotonic()) * 1000))
    message = _SCHEMA.ForwardRequest.new_message(
        requestId=request.request_id,
        attempt=request.attempt,
        method=request.method,
        service=request.service,
        operation=request.operation,
        hasKey=request.key is not None,
        key=request.key or "",
        query=request.query,
        contentType=request.content_type,
        body=request.body,
        remainingMs=remaining_ms,
        customer=admitted.customer,
        allowedRegions=sorted(admitted.allowed_regions),
        isIdempotent=admitted.is_idempotent,
        isKeyed=admitted.is_keyed,
    )
    return bytes(message.to_bytes_packed())


def decode_request(data: bytes) -> AdmittedRequest:
    """Decode an admitted request.

    The message contains neither credentials nor home regions: the token is empty, and the
    allowed regions stand in for the home regions. ``is_id_from_caller`` is True because the
    entry instance has already checked it.
    """
    message = _SCHEMA.ForwardRequest.from_bytes_packed(data)
    allowed_regions = frozenset(str(region) for region in message.allowedRegions)
    request = CallerRequest(
        request_id=str(message.requestId),
        is_id_from_caller=True,
        attempt=int(message.attempt),
        method=str(message.method),
        service=str(message.service),
        operation=str(message.operation),
        key=str(message.key) if message.hasKey else None,
        query=str(message.query),
        content_type=str(message.contentType),
        body=bytes(message.body),
        deadline=time.monotonic() + int(message.remainingMs) / 1000,
        home_regions=allowed_regions,
        token="",
    )
    return AdmittedRequest(
        request=request,
        customer=str(message.customer),
        allowed_regions=allowed_regions,
        is_idempotent=bool(message.isIdempotent),
        is_keyed=bool(message.isKeyed),
    )


def encode_result(result: BackendResponse | Refusal) -> bytes:
    """Encode a response or a refusal."""
    message = _SCHEMA.ForwardReply.new_message()
    if isinstance(result, BackendResponse):
        response = message.init("answer")
        response.status = result.status
        response.contentType = result.content_type
        response.body = result.body
        response.serverId = result.server_id
    else:
        refusal = message.init("refusal")
        refusal.code = result.code.value
        refusal.detail = result.detail
        retry_after_s = result.retry_after_s
        refusal.retryAfterS = _NO_RETRY_AFTER if retry_after_s is None else retry_after_s
    return bytes(message.to_bytes_packed())


def decode_result(data: bytes) -> BackendResponse | Refusal:
    """Decode a response or a refusal."""
    message: Any = _SCHEMA.ForwardReply.from_bytes_packed(data)
    if message.which() == "answer":
        response = message.answer
        return BackendResponse(
            int(response.status),
            str(response.contentType),
            bytes(response.body),
            str(response.serverId),
            {},
        )
    refusal = message.refusal
    retry_after_s = int(refusal.retryAfterS)
    return Refusal(
        RefusalCode(str(refusal.code)),
        str(refusal.detail),
        None if retry_after_s < 0 else retry_after_s,
    )
