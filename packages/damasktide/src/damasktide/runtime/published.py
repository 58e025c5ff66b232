"""Snapshots that one task publishes and many greenlets read."""

from typing import Generic, TypeVar

from gevent.event import Event

T = TypeVar("T")


class Published(Generic[T]):
    """Holds the latest immutable snapshot that a single writer publishes.

    Parameters
    ----------
    initial
        Snapshot until the first publication.
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
        """Replace the snapshot and wake the waiting readers; only the writer calls this."""
        replaced, self._replaced = self._replaced, Event()
        self._value = value
        replaced.set()

    def wait_for_change(self, known: T, timeout_s: float) -> T:
        """Wait at most ``timeout_s`` seconds for a snapshot other than ``known``.

        Returns the latest snapshot, which is still ``known`` after a timeout.
        """
        if self._value is known:
            self._replaced.wait(timeout_s)
        return self._value
