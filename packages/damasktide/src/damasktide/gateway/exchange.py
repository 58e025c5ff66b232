"""Interface of one request of a caller and of the way for its response."""

from collections.abc import Callable, Iterator
from typing import Protocol


class CallerExchange(Protocol):
    """One request of a caller: its body, the way for its response, and the caller's disconnect.

    A connection that carries one request at a time implements it, and so does each pipelined
    request.
    """

    @property
    def received_at(self) -> float:
        """Monotonic time in seconds at which the head was complete."""

    @property
    def is_body_read(self) -> bool:
        """Whether the complete body has been received."""

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller can no longer receive the response."""

    @property
    def has_requests_behind(self) -> bool:
        """Whether requests behind this one are in flight, so that the connection stays open."""

    @property
    def max_response_bytes(self) -> int | None:
        """Bytes of a response that are read before a part of it is sent; None is the default."""

    def read_body(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        damasktide.http1.errors.BadRequestError
            If the body is malformed or too large, or does not arrive in time.
        """

    def send(self, data: bytes) -> None:
        """Send a part of the response, after the responses to all earlier requests.

        Raises
        ------
        OSError
            If the data cannot be sent.
        """

    def wait_to_send(self) -> float:
        """Wait until a further part of the response may be sent; return the seconds waited.

        Raises
        ------
        OSError
            If the connection has ended.
        """

    def discard_unsent(self) -> bool:
        """Discard the response; return False if a part of it has been sent."""

    def send_plain(self, status: int, reason: bytes, detail: str) -> None:
        """Send a plain-text response that announces the end of the connection."""

    def watch_for_disconnect(
        self, on_disconnect: Callable[[], None], may_read_ahead: bool = False
    ) -> None:
        """Call ``on_disconnect`` once the caller can no longer receive the response.

        ``may_read_ahead`` states whether later requests may be served at the same time.
        """

    def stop_watching(self) -> None:
        """Stop watching the caller."""
