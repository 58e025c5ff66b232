import itertools
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

import gevent

from damasktide.catalog.changes import (
    Applied,
    ApplyErrorKind,
    ApplyResult,
    Change,
    apply_change,
    read_configuration,
)
from damasktide.catalog.tests.samples import LISTS, OTHER_LISTS
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.messages import ReadRow, WriteObject
from damasktide.store.rows import WriteRow
from damasktide.store.store_task import StoreTask
from damasktide_standins.platform.server import PlatformServer

STEPS = (WriteObject, ReadRow, WriteRow)
FAULTS: tuple[dict[str, object], ...] = (
    {"down": True},
    {"slow_ms": 300},
    {"drop_answers": 1},
    {"drop_answers": 1, "slow_ms": 150},
)
CALL_TIMEOUT_S = 0.2
BISI_CHANGE = Change("bisi", "change-bisi", "lists", based_on=1, lists=OTHER_LISTS)


class FaultBeforeStep:
    """Injects a fault before each message of one type."""

    def __init__(
        self, platform: PlatformServer, store: StoreTask, step: type, fault: dict[str, object]
    ) -> None:
        self._platform = platform
        self._store = store
        self._step = step
        self._fault = fault

    def ask(self, message: object, timeout_s: float) -> Any:
        if isinstance(message, self._step):
            self._platform.app.change_faults(self._fault)
        return self._store.ask(message, timeout_s)


class ApplyFaultMatrixTest(unittest.TestCase):
    @mock.patch("damasktide.store.table_client.WRITE_BUDGET_S", 0.6)
    def test_each_fault_before_each_step_has_a_correct_result_and_one_version(self) -> None:
        """Guards against a change that is lost, applied twice or reported wrongly."""
        cases = list(itertools.product(STEPS, FAULTS))
        jobs = [gevent.spawn(self.check, step, fault) for step, fault in cases]
        for (step, fault), job in zip(cases, jobs, strict=True):
            with self.subTest(step=step.__name__, **fault):
                job.get(timeout=30)

    def check(self, step: type, fault: dict[str, object]) -> None:
        platform = PlatformServer()
        platform.start()
        store = StoreTask(StoreEndpoints(platform.url, platform.url, timeout_s=CALL_TIMEOUT_S))
        store.start()
        apply_change(store, Change("ada", "change-ada", "lists", lists=LISTS)).unwrap()
        result = apply_change(FaultBeforeStep(platform, store, step, fault), BISI_CHANGE)
        platform.app.reset_faults()
        gevent.sleep(0.4)  # Lets delayed requests take effect.
        self.check_result(result, read_configuration(store).unwrap()[0].version)
        repeat = apply_change(store, replace(BISI_CHANGE, repeated=True))
        self.assertEqual(repeat.unwrap(), Applied(2, 1, True))
        self.assertEqual(read_configuration(store).unwrap()[0].version, 2)
        store.stop()
        platform.stop()

    def check_result(self, result: ApplyResult, version: int) -> None:
        if isinstance(result.value_or(None), Applied):
            self.assertEqual((result.unwrap(), version), (Applied(2, 1, True), 2))
            return
        kind = result.failure().kind
        self.assertIn(kind, (ApplyErrorKind.UNAVAILABLE, ApplyErrorKind.UNRESOLVED))
        if kind is ApplyErrorKind.UNAVAILABLE:
            self.assertEqual(version, 1)


if __name__ == "__main__":
    unittest.main()
