import io
import json
import os
import sys
import time
import unittest
from typing import Any
from unittest import mock

import gevent
from loguru import logger

from damasktide.telemetry import logs
from damasktide.telemetry.logs import configure_logging


class LogsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(lambda: logger.configure(handlers=[{"sink": sys.stderr}], extra={}))

    def lines_of(self, stream: io.StringIO) -> list[dict[str, Any]]:
        return [json.loads(line) for line in stream.getvalue().splitlines()]

    def test_event_is_one_json_line(self) -> None:
        """Guards against logs that can't be parsed, and against fields replaced by extras."""
        stream = io.StringIO()
        task = configure_logging(stream, instance="ondo-a-1")
        logger.bind(request_id="r1", reason="shed", level="x").warning("retry\nnow")
        try:
            raise OSError("broken")
        except OSError:
            logger.exception("failed")
        task.stop()
        first, second = self.lines_of(stream)
        first.pop("time")
        expected = {"level": "WARNING", "message": "retry\nnow", "request_id": "r1"}
        self.assertEqual(first, expected | {"reason": "shed", "instance": "ondo-a-1"})
        self.assertIn("OSError: broken", second["exception"])

    def test_full_pipe_blocks_no_greenlet(self) -> None:
        """Guards against requests that are blocked by a slow reader of the log."""
        read_end, write_end = os.pipe()
        stream = os.fdopen(write_end, "w")
        dropped: list[int] = []
        with mock.patch.object(logs, "MAX_QUEUED_LINES", 20):
            task = configure_logging(stream, on_dropped=dropped.append)
            start = time.monotonic()
            for _ in range(100):
                logger.info("x" * 4096)
                gevent.sleep(0)
            self.assertLess(time.monotonic() - start, 1.0)
        with gevent.Timeout(5):
            while not sum(dropped):
                gevent.get_hub().threadpool.apply(os.read, (read_end, 65536))
        os.close(read_end)
        task.stop()


if __name__ == "__main__":
    unittest.main()
