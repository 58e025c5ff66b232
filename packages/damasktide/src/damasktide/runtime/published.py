"""Snapshots that one task publishes and many greenlets read."""

from typing import Generic, TypeVar

T = TypeVar("T")


class Published(Generic[T]):
    """Holds the latest immutable snapshot of one writer.

    Parameters
    ----------
    initial
        Snapshot before the first publication.
    """

    __slots__ = ("_value",)

    def __init__(self, initial: T) -> None:
        self._value = initial

    @property
    def value(self) -> T:
        """The latest snapshot."""
        return self._value

    def publish(self, value: T) -> None:
        """Replace the snapshot; only its one writer calls this."""
        self._value = value
