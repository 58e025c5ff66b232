"""Pipelined requests over loopback sockets, one failure a test."""

import struct
from dataclasses import replace
from time import monotonic

from gevent import sleep, socket

from damasktide.gateway.handler import MAX_UNREAD_S
from damasktide.gateway.tests.pipelined_gateway import (
    RETRIED,
    PipelinedGatewayTest,
    book,
    read,
)
from damasktide.lifecycle.state import StopTimes

LINGER_RESET = struct.pack("ii", 1, 0)
LONG = b"x" * 2_000_000


class TestOrder(PipelinedGatewayTest):
    def test_slow_first_response_does_not_delay_the_work_of_others(self) -> None:
        self.hold("a")
        self.caller.sendall(read("a") + read("b") + read("c"))
        self.wait_until(lambda: self.started == ["a", "b", "c"])
        self.assertEqual(self.responses(1, 0.1), [])
        self.release["a"].set()
        self.assertEqual(self.responses(3), ["a", "b", "c"])
        self.assertEqual(self.metric("pipelined_requests"), 2)
        self.assertEqual(self.budget.used_bytes, 0)

    def test_request_that_arrives_while_another_is_served(self) -> None:
        """Guards against a next request that waits in the socket until the response is sent."""
        self.hold("a", "b")
        self.caller.sendall(read("a"))
        self.wait_until(lambda: self.started == ["a"])
        self.caller.sendall(read("b")[:20])
        sleep(0.05)
        self.caller.sendall(read("b")[20:])
        self.wait_until(lambda: self.started == ["a", "b"])
        self.release["a"].set()
        self.assertEqual(self.responses(1), ["a"])
        self.caller.sendall(read("c"))
        self.wait_until(lambda: self.started == ["a", "b", "c"])
        self.release["b"].set()
        self.assertEqual(self.responses(3), ["a", "b", "c"])
        self.caller.sendall(read("d"))
        self.assertEqual(self.responses(4), ["a", "b", "c", "d"])

    def test_unsafe_request_in_the_middle(self) -> None:
        """Guards against a request that runs although the connection closes before its turn."""
        self.hold("a", "b")
        self.caller.sendall(read("a") + book("b") + read("c"))
        self.wait_until(lambda: self.started == ["a"])
        sleep(0.05)
        self.release["a"].set()
        self.wait_until(lambda: self.started == ["a", "b"])
        sleep(0.05)
        self.assertEqual(self.started, ["a", "b"])
        self.release["b"].set()
        self.assertEqual(self.responses(3), ["a", "b", "c"])

    def test_unsafe_request_first(self) -> None:
        self.hold("a")
        self.caller.sendall(book("a") + read("b"))
        self.wait_until(lambda: self.started == ["a"])
        sleep(0.05)
        self.assertEqual(self.started, ["a"])
        self.release["a"].set()
        self.assertEqual(self.responses(2), ["a", "b"])

    def test_bound_on_requests(self) -> None:
        names = [f"n{number}" for number in range(12)]
        self.hold(names[0])
        self.caller.sendall(b"".join(map(read, names)))
        self.wait_until(lambda: len(self.started) == 8)
        sleep(0.05)
        self.assertEqual(len(self.started), 8)
        self.assertEqual(self.metric("pipeline_bounds", bound="requests"), 1)
        self.release[names[0]].set()
        self.assertEqual(self.responses(12), names)

    def test_memory_bound_of_the_instance(self) -> None:
        """Guards against a machine that runs out of memory; requests are then served in turn."""
        self.budget._max_bytes = 0
        self.caller.sendall(read("a") + read("b") + read("c"))
        self.assertEqual(self.responses(3), ["a", "b", "c"])
        self.assertEqual(self.metric("pipelined_requests"), 0)

    def test_long_responses_behind_a_slow_one(self) -> None:
        """Guards against a response that is read without bound while it waits for its turn."""
        self.hold("a")
        self.bodies = {"b": LONG, "c": LONG}
        self.caller.sendall(read("a") + read("b") + read("c") + read("d"))
        self.wait_until(lambda: len(self.started) == 4)
        sleep(0.1)
        self.assertLess(self.budget.used_bytes, 512 * 1024)
        self.release["a"].set()
        self.assertEqual(self.responses(4), ["a", "b", "c", "d"])
        self.assertEqual(self.received.count(LONG), 2)


class TestFailures(PipelinedGatewayTest):
    def test_refusal_behind_others_comes_in_order(self) -> None:
        self.hold("a")
        self.caller.sendall(read("a") + read("b").replace(b"/read/", b"/none/") + read("c"))
        sleep(0.05)
        self.release["a"].set()
        self.assertEqual(self.responses(3), ["a", "404", "c"])

    def test_route_that_changes_after_its_request_was_read(self) -> None:
        """Guards against a request that runs beside others although it may run only once."""
        rules = replace(self.handler._pipeline_rules, accepts=lambda head: True)
        self.handler._pipeline_rules = rules
        self.hold("a")
        self.caller.sendall(read("a") + book("b") + read("c"))
        self.wait_until(lambda: self.started == ["a", "c"])
        self.release["a"].set()
        self.assertEqual(self.responses(3), ["a", "503", "c"])

    def test_malformed_request_is_answered_after_those_before(self) -> None:
        self.hold("a")
        self.caller.sendall(read("a") + read("b") + b"GET / HTTP/1.1\r\n\r\n" + read("c"))
        sleep(0.05)
        self.release["a"].set()
        self.assertTrue(self.is_closed())
        self.assertEqual(self.responses(3), ["a", "b", "400"])
        self.assertEqual(self.started, ["a", "b"])

    def test_request_that_closes_the_connection_in_the_middle(self) -> None:
        """Guards against a request that is answered, or run, behind the last response."""
        self.hold("a")
        close = read("b", b"Connection: close\r\n")
        self.caller.sendall(read("a") + close + read("c") + book("d"))
        self.wait_until(lambda: self.started == ["a", "b"])
        self.release["a"].set()
        self.assertTrue(self.is_closed())
        self.assertEqual(self.responses(2), ["a", "b"])
        self.assertEqual(self.started, ["a", "b"])

    def test_response_that_is_cut_off_ends_the_connection(self) -> None:
        """Guards against a response that is sent behind the start of an incomplete one."""
        self.hold("c")
        self.bodies["a"] = LONG
        self.cut_at = {"a": 1_000_000}
        self.caller.sendall(read("a") + read("b") + read("c") + book("d"))
        self.assertTrue(self.is_closed())
        self.assertEqual(self.responses(1), ["a"])
        self.assertNotIn(b"Id: b", self.received)
        self.wait_until(lambda: self.aborted == ["c"])
        self.wait_until(lambda: self.handler.in_flight == 0)
        self.assertEqual((self.started, self.budget.used_bytes), (["a", "b", "c"], 0))

    def test_response_that_is_cut_off_behind_others(self) -> None:
        """Guards against a connection that ends for a response of which nothing was sent."""
        self.hold("a")
        self.bodies["b"] = LONG
        self.cut_at = {"b": 40_000}
        self.caller.sendall(read("a") + read("b") + read("c"))
        self.wait_until(lambda: len(self.started) == 3)
        sleep(0.05)
        self.release["a"].set()
        self.assertEqual(self.responses(3), ["a", "502", "c"])

    def test_response_that_waited_for_its_turn_is_requested_again(self) -> None:
        """Guards against a connection that ends behind a large response (review/10).

        Its target cuts off what is not read for some seconds, after a part of it has arrived.
        """
        self.hold("a")
        self.bodies["b"] = LONG
        self.cut_at = {"b": 1_000_000}
        retried = read("b").replace(b"/read/", RETRIED.encode())
        self.caller.sendall(read("a") + retried + read("c"))
        self.wait_until(lambda: len(self.started) == 3)
        sleep(MAX_UNREAD_S + 0.1)
        self.cut_at = {}
        self.release["a"].set()
        self.assertEqual(self.responses(3), ["a", "b", "c"])
        self.assertIn(LONG, self.received)
        self.assertEqual(self.started.count("b"), 2)

    def test_aborted_caller_aborts_all_calls(self) -> None:
        self.hold("a", "b", "c")
        self.caller.sendall(read("a") + read("b") + read("c") + book("d"))
        self.wait_until(lambda: len(self.started) == 3)
        self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.caller.close()
        self.wait_until(lambda: sorted(self.aborted) == ["a", "b", "c"])
        self.wait_until(lambda: self.handler.in_flight == 0)
        self.assertEqual(len(self.started), 3)

    def test_caller_that_left_is_noticed_at_the_first_response(self) -> None:
        """Guards against work for a caller whose close looked like the end of its requests."""
        self.hold("a", "b", "c")
        self.caller.sendall(read("a") + read("b") + read("c"))
        self.wait_until(lambda: len(self.started) == 3)
        self.caller.close()
        self.release["a"].set()
        self.wait_until(lambda: sorted(self.aborted) == ["b", "c"])
        self.wait_until(lambda: self.handler.in_flight == 0)

    def test_caller_that_leaves_after_its_pipelined_requests(self) -> None:
        """Guards against work for a caller that once pipelined and left with one open request."""
        self.caller.sendall(read("a") + read("b"))
        self.assertEqual(self.responses(2), ["a", "b"])
        self.hold("c")
        self.caller.sendall(read("c"))
        self.wait_until(lambda: "c" in self.started)
        self.caller.close()
        self.wait_until(lambda: self.aborted == ["c"])

    def test_half_closed_caller_gets_its_responses(self) -> None:
        self.hold("a", "c")
        self.caller.sendall(read("a") + read("b") + book("c") + read("d"))
        self.caller.shutdown(socket.SHUT_WR)
        sleep(0.05)
        self.release["a"].set()
        self.wait_until(lambda: "c" in self.started)
        sleep(0.15)
        self.release["c"].set()
        self.assertTrue(self.is_closed())
        self.assertEqual(self.responses(4), ["a", "b", "c", "d"])
        self.assertEqual(self.aborted, [])

    def test_caller_that_closed_behind_a_slow_request_counts_as_gone(self) -> None:
        """Guards against targets that work for seconds for a caller that has left."""
        self.hold("a", "b")
        self.caller.sendall(read("a") + read("b"))
        self.wait_until(lambda: len(self.started) == 2)
        self.caller.close()
        left_at = monotonic()
        self.wait_until(lambda: sorted(self.aborted) == ["a", "b"])
        self.assertLess(monotonic() - left_at, 0.5)

    def test_slow_reader_ends_only_its_own_connection(self) -> None:
        self.bodies = {"a": LONG * 4}
        self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        self.hold("b")
        self.caller.sendall(read("a") + read("b"))
        self.wait_until(lambda: len(self.started) == 2)
        other = socket.create_connection(self.caller.getpeername())
        other.sendall(read("o") + read("p"))
        other.settimeout(1.0)
        data = other.recv(4096)
        self.assertIn(b"Id: o", data)
        other.close()
        self.release["b"].set()
        self.assertEqual(self.responses(2), ["a", "b"])

    def test_planned_stop_answers_what_was_forwarded(self) -> None:
        """Guards against lost responses, and against requests started during the stop."""
        self.hold("a", "b")
        self.caller.sendall(read("a") + read("b") + book("c") + read("d"))
        self.wait_until(lambda: self.started == ["a", "b"])
        self.stop_times = StopTimes(monotonic(), monotonic() + 10.0)
        self.release["a"].set()
        self.assertEqual(self.responses(1), ["a"])
        self.caller.sendall(read("e"))
        self.release["b"].set()
        self.assertTrue(self.is_closed())
        self.assertEqual(self.responses(2), ["a", "b"])
        self.assertEqual(self.received.count(b"Connection: close"), 1)
        self.assertEqual(self.started, ["a", "b"])

    def test_deadline_of_a_request_behind_others(self) -> None:
        """Guards against a slow request whose time-out delays, or cuts off, those behind it."""
        self.hold("a", "b")
        self.caller.sendall(read("a") + read("b") + read("c"))
        self.wait_until(lambda: len(self.started) == 3)
        self.release["a"].set()
        self.assertEqual(self.responses(3, 3.0), ["a", "504", "c"])


class TestBodies(PipelinedGatewayTest):
    def test_request_behind_a_chunked_body(self) -> None:
        """Guards against the refusal of a caller that pipelines behind a chunked upload."""
        head = book("a").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        self.caller.sendall(head + b"3;x=y\r\nabc\r\n0\r\nT: 1\r\n\r\n" + read("b") + read("c"))
        self.assertEqual(self.responses(3), ["a", "b", "c"])

    def test_body_that_is_not_complete(self) -> None:
        """Guards against a request that is forwarded with a part of its body."""
        self.hold("a")
        put = read("b", b"Content-Length: 5\r\n")
        self.caller.sendall(read("a") + put + b"he")
        sleep(0.05)
        self.assertEqual(self.started, ["a"])
        self.caller.sendall(b"llo" + read("c"))
        self.wait_until(lambda: self.started == ["a", "b", "c"])
        self.release["a"].set()
        self.assertEqual(self.responses(3), ["a", "b", "c"])
