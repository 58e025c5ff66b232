import time
import unittest
from dataclasses import dataclass

import gevent

from damasktide.runtime.task import OnError, Task, TaskFailed, handles


@dataclass(frozen=True)
class Add:
    amount: int


@dataclass(frozen=True)
class Fail:
    pass


@dataclass(frozen=True)
class OddData:
    pass


class Adder(Task):
    def __init__(self, **kwargs: object) -> None:
        super().__init__("adder", **kwargs)  # type: ignore[arg-type]
        self.total = 0

    @handles(Add)
    def _add(self, message: Add) -> int:
        self.total += message.amount
        return self.total

    @handles(Fail)
    def _fail(self, message: Fail) -> None:
        raise RuntimeError("broken")

    @handles(OddData, OnError.DROP_MESSAGE)
    def _odd_data(self, message: OddData) -> None:
        raise RuntimeError("odd")


class Alarm(Task):
    def __init__(self) -> None:
        super().__init__("alarm")
        self.wake_at: float | None = None
        self.wake_count = 0

    def next_wake_at(self) -> float | None:
        return self.wake_at

    def on_wake(self) -> None:
        self.wake_at = None
        self.wake_count += 1

    @handles(Add)
    def _set(self, message: Add) -> None:
        self.wake_at = time.monotonic() + message.amount / 1000


class TaskTest(unittest.TestCase):
    def test_ask_returns_what_the_handler_returns(self) -> None:
        """Guards against replies that are lost or reach the wrong caller."""
        task = Adder()
        task.start()
        self.assertEqual([task.ask(Add(1)), task.ask(Add(2))], [1, 3])
        task.stop()

    def test_stop_handles_queued_messages_first(self) -> None:
        """Guards against a stop that drops work already queued."""
        task = Adder()
        task.start()
        for _ in range(100):
            task.tell(Add(1))
        task.stop()
        self.assertEqual(task.total, 100)

    def test_handler_can_set_an_earlier_wake_time(self) -> None:
        """Guards against a task that sleeps past a wake time set by a message."""
        task = Alarm()
        task.start()
        task.ask(Add(5))
        gevent.sleep(0.2)
        self.assertEqual(task.wake_count, 1)
        task.stop()

    def test_failure_of_a_message_sent_by_tell_is_reported(self) -> None:
        """Guards against a task that ends unnoticed."""
        failures: list[TaskFailed] = []
        task = Adder(on_failure=failures.append)
        task.start()
        task.tell(Fail())
        gevent.sleep(0)
        task.stop()
        self.assertEqual(failures, [TaskFailed("adder", "broken")])

    def test_message_with_unforeseen_content_is_dropped_and_the_task_goes_on(self) -> None:
        """Guards against a process that ends again and again because of one message."""
        failures: list[TaskFailed] = []
        task = Adder(on_failure=failures.append)
        task.start()
        task.tell(OddData())
        self.assertEqual(task.ask(Add(1)), 1)
        task.stop()
        self.assertEqual(failures, [])

    def test_failure_of_a_message_sent_by_ask_reaches_its_caller_only(self) -> None:
        """Guards against a bad request that ends a task which serves others."""
        task = Adder()
        task.start()
        with self.assertRaisesRegex(RuntimeError, "broken"):
            task.ask(Fail())
        self.assertEqual(task.ask(Add(1)), 1)
        task.stop()


if __name__ == "__main__":
    unittest.main()
