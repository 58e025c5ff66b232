"""A target over loopback sockets whose responses a test chooses."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gevent import sleep, socket

from damasktide.gateway.dialect import RequestMetadata, ResponseMetadata
from damasktide.http1.messages import HeaderFields, RequestHead, ResponseHead, first_field
from damasktide.http1.tests.loopback_server import running_server
from damasktide.organisations.organisation import CallerIdentity


class PlainDialect:
    """A dialect with the fields ``Id`` and ``Not-Run`` only."""

    def request_metadata(self, head: RequestHead) -> RequestMetadata:
        return RequestMetadata(head.field(b"id"), None, None, "")

    def call_fields(
        self,
        head: RequestHead,
        target_id: str,
        remaining_s: float,
        identity: CallerIdentity | None = None,
    ) -> HeaderFields:
        return head.headers

    def response_metadata(self, head: ResponseHead) -> ResponseMetadata:
        is_not_run = head.field(b"not-run") is not None
        return ResponseMetadata(head.field(b"id"), True, is_not_run, False, False)

    def refusal_fields(
        self, request_id: bytes | None, retry_after_s: float | None
    ) -> HeaderFields:
        return ()


def response(request_id: bytes | None, body: bytes, status: int = 200) -> bytes:
    id_field = b"Id: %s\r\n" % request_id if request_id is not None else b""
    extra = b"Not-Run: 1\r\n" if status == 503 else b""
    return b"HTTP/1.1 %d X\r\n%s%sContent-Length: %d\r\n\r\n%s" % (
        status,
        id_field,
        extra,
        len(body),
        body,
    )


Respond = Callable[[bytes], Iterator[bytes]]


@contextmanager
def target(respond: Respond) -> Iterator[tuple[str, int]]:
    """Run a target that answers each request with the parts that ``respond`` yields for its id."""

    def handle(sock: socket.socket, address: object) -> None:
        for request_id in request_ids(sock):
            for part in respond(request_id):
                sock.sendall(part)
                sleep(0.01)

    with running_server(handle) as address:
        yield address


def request_ids(sock: socket.socket) -> Iterator[bytes]:
    """Yield the ids of the requests on a connection, each of which arrives in one piece."""
    while data := sock.recv(65_536):
        lines = (line.split(b": ", 1) for line in data.split(b"\r\n")[1:] if b": " in line)
        yield first_field(tuple((name, value) for name, value in lines), b"id") or b""
