"""In-memory implementation of the subset of DynamoDB that damasktide uses."""

import json
import re
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from damasktide.runtime.registry import Registry

TOKEN_TTL_S = 600.0
MAX_TOKEN_LENGTH = 36

Json = dict[str, Any]
Operation = Callable[["TableService", Json], Json]

operations: Registry[str, Operation] = Registry("operation of the table service")

_ABSENT = re.compile(r"attribute_not_exists\((#\w+)\)")
_EQUALS = re.compile(r"(#\w+) = (:\w+)")


class TableError(Exception):
    """An error of the DynamoDB protocol.

    Parameters
    ----------
    name
        Name of the exception type, such as ``ConditionalCheckFailedException``.
    extra
        Additional fields of the error response.
    """

    def __init__(self, name: str, extra: Mapping[str, Any]) -> None:
        super().__init__(name)
        self.name = name
        self.extra = extra


def _projected(item: Json, request: Json) -> Json:
    """Return the requested attributes of an item; all if the request has no projection."""
    expression = request.get("ProjectionExpression")
    if expression is None:
        return item
    names = request["ExpressionAttributeNames"]
    requested = {names[name.strip()] for name in expression.split(",")}
    return {name: value for name, value in item.items() if name in requested}


@dataclass(frozen=True, slots=True)
class _TokenUse:
    request: str
    used_at: float


class TableService:
    """Tables whose items have the attribute ``row_key`` as their key."""

    def __init__(self) -> None:
        self._item_by_key: dict[tuple[str, str], Json] = {}
        self._use_by_token: dict[str, _TokenUse] = {}

    def call(self, operation: str, request: Json) -> Json:
        """Run one operation.

        Raises
        ------
        TableError
            If the operation is unknown, its request is malformed, or a condition fails.
        """
        if operation not in operations:
            raise TableError("UnknownOperationException", {})
        try:
            return operations.get(operation)(self, request)
        except (KeyError, TypeError) as error:
            raise TableError("ValidationException", {"message": repr(error)}) from error

    @operations.register("GetItem")
    def _get_item(self, request: Json) -> Json:
        if request.get("ConsistentRead") is not True:
            raise TableError("ValidationException", {"message": "only consistent reads"})
        key = (request["TableName"], request["Key"]["row_key"]["S"])
        item = self._item_by_key.get(key)
        return {"Item": _projected(item, request)} if item is not None else {}

    @operations.register("PutItem")
    def _put_item(self, request: Json) -> Json:
        if not self._is_condition_met(request):
            raise TableError("ConditionalCheckFailedException", {})
        self._store(request)
        return {}

    @operations.register("TransactWriteItems")
    def _transact(self, request: Json) -> Json:
        token = request["ClientRequestToken"]
        if not 1 <= len(token) <= MAX_TOKEN_LENGTH:
            raise TableError("ValidationException", {"message": "token too long"})
        if self._is_repeat(token, request):
            return {}
        puts = [item["Put"] for item in request["TransactItems"]]
        conditions_met = [self._is_condition_met(put) for put in puts]
        if not all(conditions_met):
            reasons = [
                {"Code": "None" if ok else "ConditionalCheckFailed"} for ok in conditions_met
            ]
            raise TableError("TransactionCanceledException", {"CancellationReasons": reasons})
        for put in puts:
            self._store(put)
        self._use_by_token[token] = _TokenUse(_canonical(request), time.monotonic())
        return {}

    def _is_repeat(self, token: str, request: Json) -> bool:
        use = self._use_by_token.get(token)
        if use is None or time.monotonic() - use.used_at > TOKEN_TTL_S:
            return False
        if use.request != _canonical(request):
            raise TableError("IdempotentParameterMismatchException", {})
        return True

    def _is_condition_met(self, put: Json) -> bool:
        item = self._item_by_key.get(_key_of(put), {})
        expression = put.get("ConditionExpression")
        if expression is None:
            return True
        names = put.get("ExpressionAttributeNames", {})
        if match := _ABSENT.fullmatch(expression):
            return names[match[1]] not in item
        if match := _EQUALS.fullmatch(expression):
            value = put["ExpressionAttributeValues"][match[2]]
            return bool(item.get(names[match[1]]) == value)
        raise TableError("ValidationException", {"message": f"condition {expression!r}"})

    def _store(self, put: Json) -> None:
        self._item_by_key[_key_of(put)] = put["Item"]


def _key_of(put: Json) -> tuple[str, str]:
    return put["TableName"], put["Item"]["row_key"]["S"]


def _canonical(request: Json) -> str:
    return json.dumps(request, sort_keys=True)
