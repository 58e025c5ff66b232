"""Child processes of tests and the demo, signalled only by their own process id."""

import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

STOP_TIMEOUT_S = 10.0


class ChildProcess:
    """A Python module that runs as a child process.

    Parameters
    ----------
    name
        Name used for its log file.
    module
        Python module to run.
    arguments
        Command line arguments.
    log_directory
        Directory of its log file, which receives stdout and stderr.
    """

    def __init__(
        self, name: str, module: str, arguments: Sequence[str], log_directory: Path
    ) -> None:
        self.name = name
        self.log_path = log_directory / f"{name}.log"
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def is_running(self) -> bool:
        """Return whether the process is still running."""
        return self._process.poll() is None

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running():
            os.kill(self._process.pid, signal_number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        self._process.wait()

    def terminate(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stop the process with SIGTERM, or kill it after ``timeout_s``; return its exit code."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._process.returncode
