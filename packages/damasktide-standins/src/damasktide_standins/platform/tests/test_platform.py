import json
import unittest

import urllib3

from damasktide_standins.platform.live_list import parse_entries
from damasktide_standins.platform.server import PlatformServer
from damasktide_standins.platform.table_service import TableError, TableService

ENTRY = {
    "server_id": "skycast-1",
    "service": "skycast",
    "domain": "delta-a",
    "region": "north-delta",
    "host": "127.0.0.1",
    "port": 9000,
    "slots": 6,
    "connections": 110,
    "state": "live",
}


def put_request(version: int, body: str = "{}") -> dict[str, object]:
    item = {"row_key": {"S": "row"}, "version": {"N": str(version)}, "body": {"S": body}}
    names = {"#version": "version"}
    request = {"TableName": "t", "Item": item, "ExpressionAttributeNames": names}
    if version == 1:
        return {**request, "ConditionExpression": "attribute_not_exists(#version)"}
    values = {":based_on": {"N": str(version - 1)}}
    condition = "#version = :based_on"
    return {**request, "ConditionExpression": condition, "ExpressionAttributeValues": values}


class TableServiceTest(unittest.TestCase):
    def test_conditions_are_enforced(self) -> None:
        """Guards against a stand-in with which a client never loses a race."""
        table = TableService()
        table.call("PutItem", put_request(1))
        table.call("PutItem", put_request(2))
        for version in (1, 2, 4):
            with self.assertRaisesRegex(TableError, "ConditionalCheckFailed"):
                table.call("PutItem", put_request(version))

    def test_request_token_makes_a_transaction_idempotent(self) -> None:
        """Guards against refusing a repeated request or accepting a changed one."""
        table = TableService()
        request = {"ClientRequestToken": "c1", "TransactItems": [{"Put": put_request(1)}]}
        self.assertEqual(table.call("TransactWriteItems", request), {})
        self.assertEqual(table.call("TransactWriteItems", request), {})
        changed = {**request, "TransactItems": [{"Put": put_request(2)}]}
        with self.assertRaisesRegex(TableError, "IdempotentParameterMismatch"):
            table.call("TransactWriteItems", changed)


class PlatformServerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = PlatformServer()
        self.platform.start()
        self.addCleanup(self.platform.stop)
        self.http = urllib3.PoolManager(retries=False)

    def call(self, method: str, path: str, document: object = None) -> tuple[int, bytes]:
        headers = {"Content-Type": "application/json"}
        body = None if document is None else json.dumps(document)
        response = self.http.request(method, self.platform.url + path, body=body, headers=headers)
        return response.status, response.data

    def test_frozen_live_list_hides_changes_until_it_is_unfrozen(self) -> None:
        """Guards against tests of an outdated live list that get the current one."""
        self.call("PUT", "/instances", {"instances": [ENTRY]})
        self.call("PUT", "/faults", {"live_list_frozen": True})
        self.call("PUT", "/instances", {"instances": []})
        self.assertIn(b"skycast-1", self.call("GET", "/instances")[1])
        self.call("DELETE", "/faults")
        self.assertEqual(self.call("GET", "/instances"), (200, b'{"instances": []}'))

    def test_malformed_input_is_refused_with_its_position(self) -> None:
        """Guards against tests that pass because they misspell a fault or an entry."""
        self.assertEqual(self.call("PUT", "/faults", {"downn": True})[0], 400)
        self.assertEqual(self.call("PUT", "/faults", {"slow_ms": "10"})[0], 400)
        self.assertEqual(self.call("PUT", "/instances", {"instances": [{}]})[0], 400)
        with self.assertRaisesRegex(ValueError, "entry 0: state is one of live, leaving"):
            parse_entries({"instances": [{**ENTRY, "state": "gone"}]})

    def test_down_closes_all_connections_except_to_faults(self) -> None:
        """Guards against a fault that cannot be switched off over HTTP."""
        self.call("PUT", "/faults", {"down": True})
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.call("GET", "/instances")
        self.assertEqual(self.call("DELETE", "/faults")[0], 200)
        self.assertEqual(self.call("GET", "/instances")[0], 200)


if __name__ == "__main__":
    unittest.main()
