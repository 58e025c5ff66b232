"""Base class of links, the tasks that own one connection between two instances."""

from typing import Any

import gevent
from loguru import logger

from damasktide.peering.codec import PeerFrame
from damasktide.peering.stream import LinkError, PeerStream
from damasktide.runtime.task import Stop, Task

WRITE_TIMEOUT_S = 5.0
READER_END_TIMEOUT_S = 1.0


class PeerLink(Task):
    """One end of a link; the task writes frames and a second greenlet reads them.

    Parameters
    ----------
    name
        Name used in logs.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.is_closed = False
        self._stream: PeerStream | None = None
        self._reader: Any = None

    def open_stream(self) -> PeerStream:
        """Connect and perform the handshake; runs in the task's greenlet."""
        raise NotImplementedError

    def on_frame(self, frame: PeerFrame) -> None:
        """Handle a received frame; runs in the reader's greenlet."""
        raise NotImplementedError

    def on_start(self) -> None:
        """Open the stream and start reading."""
        try:
            self._stream = self.open_stream()
        except (OSError, LinkError) as error:
            self.end(f"cannot open the link: {error}")
            return
        self._reader = gevent.spawn(self._read, self._stream)

    def on_stop(self) -> None:
        """Close the connection."""
        self.is_closed = True
        if self._reader is not None:
            # The stream cannot be closed while the reader is blocked in a read.
            self._reader.kill(timeout=READER_END_TIMEOUT_S)
        if self._stream is not None:
            self._stream.close()

    def end(self, reason: str) -> None:
        """Close the link and stop the task; nothing is written afterwards."""
        if not self.is_closed:
            logger.bind(link=self.name, reason=reason).debug("closing link")
            self.is_closed = True
            self.tell(Stop())

    def write(self, frame: PeerFrame) -> bool:
        """Write a frame and return whether the link is still open."""
        if self.is_closed or self._stream is None:
            return False
        try:
            with gevent.Timeout(WRITE_TIMEOUT_S, LinkError("the peer does not read")):
                self._stream.send(frame)
        except (OSError, LinkError) as error:
            self.end(f"cannot write: {error}")
        return not self.is_closed

    def _read(self, stream: PeerStream) -> None:
        try:
            while (frame := stream.receive()) is not None:
                self.on_frame(frame)
            self.end("closed by the peer")
        except (OSError, LinkError, ValueError) as error:
            self.end(f"cannot read: {error}")
