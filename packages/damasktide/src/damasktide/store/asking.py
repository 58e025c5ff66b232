"""Calls to a store task, in which a missing reply becomes a store error."""

from typing import Any, Protocol

import gevent
from returns.result import Failure, Result

from damasktide.store.messages import ReadObject, ReadRow, WriteObject, WriteRows
from damasktide.store.rows import StoreError, StoreErrorKind, WriteRow

# Longer than the longest write, so the store task normally replies before the timeout.
ASK_TIMEOUT_S = 10.0

StoreMessage = ReadRow | WriteRow | WriteRows | ReadObject | WriteObject


class StoreAsker(Protocol):
    """Interface of :class:`damasktide.store.store_task.StoreTask` for its callers."""

    def ask(self, message: object, timeout_s: float) -> Any:
        """Send a message and wait at most ``timeout_s`` seconds for its result."""


def ask_store(
    store: StoreAsker, message: StoreMessage, timeout_s: float = ASK_TIMEOUT_S
) -> Result[Any, StoreError]:
    """Send ``message`` to the store task and wait at most ``timeout_s`` seconds.

    A message that is still queued behind others at the timeout may take effect later, so a row
    write is then unresolved.
    """
    try:
        result: Result[Any, StoreError] = store.ask(message, timeout_s)
    except gevent.Timeout:
        is_write = isinstance(message, WriteRow | WriteRows)
        kind = StoreErrorKind.UNRESOLVED if is_write else StoreErrorKind.UNAVAILABLE
        return Failure(StoreError(kind, f"the store task did not reply within {timeout_s} s"))
    return result
