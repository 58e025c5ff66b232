"""Snapshots that one task publishes and many greenlets read."""

from typing import Generic, TypeVar

from gevent.event import Event

T = TypeVar("T")


class Published(Generic[T]):
    """Holds the latest immutable snapshot of one writer.

    Parameters
    ----------
    initial
        Snapshot before the first publication.
    """

    __slots__ = ("_replaced", "_value")

    def __init__(self, initial: T) -> None:
        self._value = initial
        self._replaced = Event()

    @property
    def value(self) -> T:
        """The latest snapshot."""
        return self._value

    def publish(self, value: T) -> None:
        """Replace the snapshot; only its one writer calls this."""
        replaced, self._replaced = self._replaced, Event()
        self._value = value
        replaced.set()

    def wait_beyond(self, seen: T, timeout_s: float) -> T:
        """Return the latest snapshot; wait for another than ``seen`` for ``timeout_s`` seconds."""
        if self._value is seen:
            self._replaced.wait(timeout_s)
        return self._value
