"""DynamoDB's JSON protocol: requests as bytes, responses as rows or outcomes of writes."""

import json
from collections.abc import Mapping
from typing import Any

from damasktide.store.readback import WriteResponse
from damasktide.store.rows import AppliedChange, Row
from damasktide.store.transport import HttpResponse

TARGET_PREFIX = "DynamoDB_20120810."
CONTENT_TYPE = "application/x-amz-json-1.0"

# Errors that report a conflict with another request: nothing was written. Reading the row
# shows whether the write can still take effect.
_CONTENTION = {
    "ConditionalCheckFailedException",
    "TransactionCanceledException",
    "TransactionConflictException",
}
_NOT_APPLIED = {
    "ProvisionedThroughputExceededException",
    "RequestLimitExceeded",
    "ThrottlingException",
    "ResourceNotFoundException",
}


def headers(operation: str) -> dict[str, str]:
    """Return the headers that select an operation."""
    return {"Content-Type": CONTENT_TYPE, "X-Amz-Target": TARGET_PREFIX + operation}


def encode_get(table: str, key: str) -> bytes:
    """Encode a consistent GetItem."""
    request = {"TableName": table, "Key": {"row_key": {"S": key}}, "ConsistentRead": True}
    return json.dumps(request).encode()


def encode_get_version(table: str, key: str) -> bytes:
    """Encode a consistent GetItem that returns only the version."""
    request = {
        "TableName": table,
        "Key": {"row_key": {"S": key}},
        "ConsistentRead": True,
        "ProjectionExpression": "#version",
        "ExpressionAttributeNames": {"#version": "version"},
    }
    return json.dumps(request).encode()


def encode_put(table: str, row: Row) -> bytes:
    """Encode a PutItem that creates ``row`` if its predecessor is current."""
    return json.dumps(_conditional_put(table, row)).encode()


def encode_transaction(table: str, rows: tuple[Row, ...], token: str) -> bytes:
    """Encode a TransactWriteItems that creates all ``rows`` or none."""
    items = [{"Put": _conditional_put(table, row)} for row in rows]
    return json.dumps({"TransactItems": items, "ClientRequestToken": token}).encode()


def decode_row(key: str, body: bytes) -> Row:
    """Decode the response to GetItem.

    Raises
    ------
    ValueError
        If the item lacks an attribute or has one of another type.
    """
    try:
        item = json.loads(body).get("Item")
        return _row_of(key, item) if item else Row.absent(key)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"row {key} could not be decoded: {error!r}") from error


def decode_version(key: str, body: bytes) -> int:
    """Decode the response to a GetItem for the version; 0 for an absent row.

    Raises
    ------
    ValueError
        If the item has no version.
    """
    try:
        item = json.loads(body).get("Item")
        return int(item["version"]["N"]) if item else 0
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"row {key} could not be decoded: {error!r}") from error


def decode_write(response: HttpResponse) -> tuple[WriteResponse, str]:
    """Classify the response to a write and explain it for logs and operators."""
    if response.status == 200:
        return WriteResponse.ACCEPTED, "accepted"
    error = error_type(response)
    detail = f"the table service responded {response.status} {error}"
    if response.status >= 500 or error == "TransactionInProgressException":
        return WriteResponse.LOST, detail
    if error in _CONTENTION:
        return WriteResponse.CONDITION_FAILED, detail
    if error in _NOT_APPLIED:
        return WriteResponse.NOT_APPLIED, detail
    return WriteResponse.REJECTED, detail


def error_type(response: HttpResponse) -> str:
    """Return the name of the error in a response, or an empty string."""
    try:
        content = json.loads(response.body)
    except ValueError:
        return ""
    type_name = content.get("__type", "") if isinstance(content, dict) else ""
    return str(type_name).rpartition("#")[2]


def _conditional_put(table: str, row: Row) -> dict[str, Any]:
    put: dict[str, Any] = {
        "TableName": table,
        "Item": _item_of(row),
        "ExpressionAttributeNames": {"#version": "version"},
    }
    if row.version == 1:
        put["ConditionExpression"] = "attribute_not_exists(#version)"
    else:
        put["ConditionExpression"] = "#version = :based_on"
        put["ExpressionAttributeValues"] = {":based_on": {"N": str(row.version - 1)}}
    return put


def _item_of(row: Row) -> dict[str, Any]:
    changes = [
        {"M": {"change_id": {"S": change.change_id}, "version": {"N": str(change.version)}}}
        for change in row.changes
    ]
    return {
        "row_key": {"S": row.key},
        "version": {"N": str(row.version)},
        "body": {"S": row.body},
        "change_id": {"S": row.change_id},
        "changes": {"L": changes},
    }


def _row_of(key: str, item: Mapping[str, Any]) -> Row:
    changes = tuple(
        AppliedChange(entry["M"]["change_id"]["S"], int(entry["M"]["version"]["N"]))
        for entry in item["changes"]["L"]
    )
    version = int(item["version"]["N"])
    return Row(key, version, item["body"]["S"], item["change_id"]["S"], changes)
