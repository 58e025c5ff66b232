"""Map writes beside the leader's own writes of its row, and while the store refuses calls."""

import unittest
from random import Random

from damasktide.keyspace.assignment_controller import MAP_WRITE_RETRY_S, AssignmentController
from damasktide.keyspace.leadership import LEADER_WRITE_INTERVAL_S, Leadership
from damasktide.keyspace.messages import (
    Command,
    LeaderWritten,
    MapWritten,
    WriteLeader,
    WriteMap,
    WriteResult,
)
from damasktide.targets.target import TargetEntry, TargetState, TargetView

SERVICE = "ledger"


class TestMapWrites(unittest.TestCase):
    def setUp(self) -> None:
        self.version = 10
        leadership = Leadership("this", "boot-1", Random(1))
        self.controller = AssignmentController(leadership)
        self.controller.set_services(frozenset({SERVICE}))
        leadership.record_complete_read(0.0)
        leadership.record_write_started()
        leadership.record_write(1.0, 1.0, self.version)
        self.controller.record_table_read(1.5)
        entry = TargetEntry("t", 1, SERVICE, "a1", ("t", 80), 6, TargetState.READY)
        self.controller.set_targets(1.5, TargetView({"t": entry}, {SERVICE: (entry,)}))

    def commands(self, now: float) -> list[Command]:
        return list(self.controller.commands(now))

    def leader_written(self, now: float, write: WriteLeader) -> None:
        self.version += 1
        self.controller.handle_leader_written(
            now, LeaderWritten(write, WriteResult.WRITTEN, now, self.version)
        )

    def test_map_write_waits_for_the_write_of_the_leaders_row(self) -> None:
        """Guards against map writes whose condition the leader's own write has just broken.

        Seen on large scale-1 with 24 machines: every retry coincided with a write of the leader's
        row, so that no key moved for six seconds.
        """
        now = 1.0 + LEADER_WRITE_INTERVAL_S
        first = self.commands(now)
        self.assertEqual([type(command) for command in first], [WriteLeader])
        assert isinstance(first[0], WriteLeader)
        self.leader_written(now + 0.01, first[0])
        [write] = self.commands(now + 0.02)
        assert isinstance(write, WriteMap)
        self.assertEqual(write.leader_version, self.version)

    def test_map_write_is_repeated_after_a_pause(self) -> None:
        [write] = self.commands(1.1)
        assert isinstance(write, WriteMap)
        self.controller.handle_map_written(1.2, MapWritten(write, WriteResult.UNKNOWN))
        self.assertEqual(self.commands(1.2 + MAP_WRITE_RETRY_S - 0.11), [])
        later = 1.2 + MAP_WRITE_RETRY_S
        for command in self.commands(later):
            if isinstance(command, WriteLeader):
                self.leader_written(later, command)
        self.assertTrue(any(isinstance(item, WriteMap) for item in self.commands(later)))

    def test_rejected_map_write_is_repeated_at_once(self) -> None:
        [write] = self.commands(1.1)
        assert isinstance(write, WriteMap)
        self.controller.handle_map_written(1.2, MapWritten(write, WriteResult.CONFLICT))
        self.assertEqual(len(self.commands(1.2)), 1)
