import random
import unittest
from dataclasses import dataclass, field
from unittest import mock

from returns.pipeline import is_successful

from damasktide.store.readback import (
    Finished,
    ReadBack,
    SendWrites,
    Step,
    WriteProgress,
    WriteResponse,
    WriteResult,
)
from damasktide.store.rows import Row, StoreError, StoreErrorKind, WriteRow

SEEDS = range(3000)
RETRY_UNTIL_S = 30.0
DOWN = StoreError(StoreErrorKind.UNAVAILABLE, "down")


@dataclass
class Table:
    """A single row; its writes may arrive late or never."""

    row: Row = field(default_factory=lambda: Row.absent("row"))
    in_flight: list[Row] = field(default_factory=list)
    applied: list[str] = field(default_factory=list)

    def deliver(self, row: Row) -> WriteResponse:
        if row.version != self.row.version + 1:
            return WriteResponse.CONDITION_FAILED
        self.row = row
        self.applied.append(row.change_id)
        return WriteResponse.ACCEPTED


@dataclass
class Writer:
    """A writer of one change and its progress."""

    write: WriteRow
    step: Step
    progress: WriteProgress
    result: WriteResult | None = None


def start_writer(change_id: str, based_on: int, repeated: bool = False) -> Writer:
    write = WriteRow("row", change_id, based_on, change_id, repeated)
    return Writer(write, ReadBack(0.0), WriteProgress.begin((write,), RETRY_UNTIL_S))


def advance(writer: Writer, table: Table, rng: random.Random, now: float) -> None:
    if isinstance(writer.step, Finished):
        writer.result = writer.step.result
        return
    if isinstance(writer.step, ReadBack):
        if rng.random() < 0.2:
            writer.progress, writer.step = writer.progress.on_read_failure(DOWN, now)
        else:
            writer.progress, writer.step = writer.progress.on_rows((table.row,))
        return
    response = send_write(writer.step, table, rng)
    writer.progress, writer.step = writer.progress.on_response(response, "", now)


def send_write(step: SendWrites, table: Table, rng: random.Random) -> WriteResponse:
    row = step.rows[0]
    outcome = rng.choice(("complete", "complete", "refused", "dropped", "late", "response lost"))
    if outcome == "complete":
        return table.deliver(row)
    if outcome == "refused":
        return WriteResponse.NOT_APPLIED
    if outcome == "late":
        table.in_flight.append(row)
    if outcome == "response lost":
        table.deliver(row)
    return WriteResponse.LOST


def run_schedule(seed: int) -> tuple[list[Writer], Table]:
    """Interleave writers, late requests and restarts until all writers have finished."""
    rng, table = random.Random(seed), Table()
    finished: list[Writer] = []
    running = [start_writer(f"c{i}", rng.randrange(3)) for i in range(3)]
    now, started_count = 0.0, len(running)
    while running:
        now += rng.random()
        if table.in_flight and rng.random() < 0.3:
            table.deliver(table.in_flight.pop(rng.randrange(len(table.in_flight))))
        writer = rng.choice(running)
        if rng.random() < 0.05:  # The process restarts and repeats its change.
            running[running.index(writer)] = start_writer(
                writer.write.change_id, writer.write.based_on, repeated=True
            )
            continue
        advance(writer, table, rng, now)
        if writer.result is not None:
            running.remove(writer)
            finished.append(writer)
            if started_count < 12:
                running.append(
                    start_writer(f"c{started_count}", table.row.version - rng.randrange(2))
                )
                started_count += 1
    while table.in_flight:
        table.deliver(table.in_flight.pop())
    return finished, table


class ScheduleTest(unittest.TestCase):
    @mock.patch("damasktide.store.rows.MAX_ROW_CHANGES", 2)
    def test_results_are_correct_with_late_lost_and_repeated_writes(self) -> None:
        """Guards against a change that is applied twice or whose reported result is wrong."""
        result_kinds: set[str] = set()
        for seed in SEEDS:
            finished, table = run_schedule(seed)
            self.assertEqual(len(set(table.applied)), len(table.applied), f"seed {seed}")
            for writer in finished:
                result_kinds.add(self.check(writer, table, seed))
        expected_kinds = {"written", "conflict", "unavailable", "unresolved"}
        self.assertEqual(
            result_kinds, expected_kinds, "the schedules do not produce every outcome"
        )

    def check(self, writer: Writer, table: Table, seed: int) -> str:
        result, change_id = writer.result, writer.write.change_id
        assert result is not None
        if is_successful(result):
            version = result.unwrap()[0].version
            self.assertEqual(table.applied[version - 1], change_id, f"seed {seed}")
            return "written"
        kind = result.failure().kind
        if kind is not StoreErrorKind.UNRESOLVED:
            self.assertNotIn(change_id, table.applied, f"seed {seed}: {kind}")
        return kind.value


if __name__ == "__main__":
    unittest.main()
