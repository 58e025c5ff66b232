"""Simulated table service with one row and conditional writes."""

from collections.abc import Callable

from damasktide.ownership.shard_map import ShardMap
from damasktide_standins.ownership_world.events import EventQueue
from damasktide_standins.ownership_world.node import Node

SERVICE_TIME_S = 0.005


class FakeTable(Node):
    """A linearizable table: each operation takes effect at one instant, before its reply.

    Parameters
    ----------
    queue
        Event queue.
    region
        Region of the table.
    """

    def __init__(self, queue: EventQueue, region: str) -> None:
        super().__init__(queue, "table", "platform", region)
        self.row: ShardMap | None = None
        self.change_id = ""
        self.is_down = False
        self.delay_s = SERVICE_TIME_S
        self.write_replies_to_drop = 0

    def read(self, reply: Callable[[ShardMap | None, str], None]) -> None:
        """Reply with the row and the id of the change that wrote it."""
        if self.is_down:
            return
        row, change_id = self.row, self.change_id
        self.after(self.delay_s, lambda: self._unless_down(lambda: reply(row, change_id)))

    def write(
        self, row: ShardMap, based_on: int, change_id: str, reply: Callable[[bool], None]
    ) -> None:
        """Replace the row if its version is ``based_on``; reply whether it was replaced."""
        if not self.is_down:
            self.after(self.delay_s, lambda: self._apply(row, based_on, change_id, reply))

    def _apply(
        self, row: ShardMap, based_on: int, change_id: str, reply: Callable[[bool], None]
    ) -> None:
        if self.is_down:
            return
        current_version = self.row.version if self.row is not None else 0
        written = current_version == based_on
        if written:
            self.row = row
            self.change_id = change_id
        if written and self.write_replies_to_drop > 0:
            self.write_replies_to_drop -= 1
            return
        reply(written)

    def _unless_down(self, action: Callable[[], None]) -> None:
        if not self.is_down:
            action()
