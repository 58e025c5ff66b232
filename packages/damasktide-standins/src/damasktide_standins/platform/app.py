"""HTTP interface of the stand-in for the platform; other modules implement what it serves."""

import json
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import bottle

from damasktide_standins.platform.faults import FaultControl, Faults
from damasktide_standins.platform.live_list import LiveList, parse_entries
from damasktide_standins.platform.table_service import TableError, TableService

AMZ_JSON = "application/x-amz-json-1.0"

T = TypeVar("T")


class PlatformApp:
    """State of the platform and the bottle application that serves it."""

    def __init__(self) -> None:
        self.table = TableService()
        self.object_by_path: dict[str, bytes] = {}
        self.live_list = LiveList()
        self.faults = FaultControl()
        self.bottle = bottle.Bottle()
        self._add_routes()

    def change_faults(self, changes: Mapping[str, Any]) -> Faults:
        """Apply a partial change to the faults and return the resulting ones."""
        faults = self.faults.change(changes)
        self.live_list.freeze(faults.live_list_frozen)
        return faults

    def reset_faults(self) -> Faults:
        """Switch all faults off."""
        self.live_list.freeze(False)
        return self.faults.reset()

    def _add_routes(self) -> None:
        route: Callable[..., Any] = self.bottle.route
        route("/", "POST", self._table_call)
        route("/instances", "GET", self.live_list.as_json)
        route("/instances", "PUT", self._put_instances)
        route("/faults", "GET", lambda: self.faults.current.as_json())
        route("/faults", "PUT", self._put_faults)
        route("/faults", "DELETE", lambda: self.reset_faults().as_json())
        route("/<bucket>/<name>", "PUT", self._put_object)
        route("/<bucket>/<name>", "GET", self._get_object)

    def _table_call(self) -> str:
        operation = bottle.request.get_header("X-Amz-Target", "").rpartition(".")[2]
        bottle.response.content_type = AMZ_JSON
        try:
            return json.dumps(self.table.call(operation, json.load(bottle.request.body)))
        except TableError as error:
            bottle.response.status = 400
            kind = f"com.amazonaws.dynamodb.v20120810#{error.name}"
            return json.dumps({"__type": kind, **error.extra})

    def _put_object(self, bucket: str, name: str) -> str:
        self.object_by_path[f"{bucket}/{name}"] = bottle.request.body.read()
        return ""

    def _get_object(self, bucket: str, name: str) -> bytes:
        content = self.object_by_path.get(f"{bucket}/{name}")
        if content is None:
            raise bottle.HTTPError(404, "NoSuchKey")
        bottle.response.content_type = "application/octet-stream"
        return content

    def _put_instances(self) -> dict[str, Any]:
        self.live_list.replace(_parse_or_bad_request(parse_entries, bottle.request.json))
        return self.live_list.as_json()

    def _put_faults(self) -> dict[str, Any]:
        return _parse_or_bad_request(self.change_faults, bottle.request.json or {}).as_json()


def _parse_or_bad_request(parse: Callable[[Any], T], document: Any) -> T:
    try:
        return parse(document)
    except ValueError as error:
        raise bottle.HTTPError(400, str(error)) from None
