"""Runs an entry instance that counts the bytes of its sockets and samples its stacks.

On SIGUSR1 it writes the counts and the samples to a file next to its settings file, with the
suffix ``.measured.json``.
"""

from gevent import monkey

monkey.patch_all()

import json
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from types import FrameType
from typing import Any

from gevent import socket

from damasktide.cli import main

# In CPU time of the process, which ITIMER_PROF counts.
SAMPLE_INTERVAL_S = 0.002
MAX_DEPTH = 60

_bytes_by_kind: Counter[str] = Counter()
_samples: Counter[tuple[str, ...]] = Counter()


def _count_transfers(name: str, kind: str, returns_length: bool) -> None:
    """Wrap a method of gevent's socket so that it counts calls and transferred bytes."""
    original = getattr(socket.socket, name)

    def counted(self: Any, *arguments: Any, **options: Any) -> Any:
        result = original(self, *arguments, **options)
        size = result if returns_length else len(result[0] if kind == "udp_in" else result)
        _bytes_by_kind[kind] += size or 0
        _bytes_by_kind[f"{kind}_calls"] += 1
        return result

    setattr(socket.socket, name, counted)


def _wrap_sockets() -> None:
    # sendall calls send, so wrapping it too would count its bytes twice.
    _count_transfers("send", "tcp_out", True)
    _count_transfers("recv", "tcp_in", False)
    _count_transfers("recv_into", "tcp_in", True)
    _count_transfers("sendto", "udp_out", True)
    _count_transfers("recvfrom", "udp_in", False)


def _take_sample(_number: int, frame: FrameType | None) -> None:
    stack: list[str] = []
    while frame is not None and len(stack) < MAX_DEPTH:
        code = frame.f_code
        path = Path(code.co_filename)
        stack.append(f"{path.parent.name}/{path.stem}:{code.co_qualname}")
        frame = frame.f_back
    _samples[tuple(stack)] += 1


def _dump(path: Path) -> None:
    # A sample taken during the dump would change the dictionary that is being written.
    signal.setitimer(signal.ITIMER_PROF, 0.0)
    document = {
        "at": time.monotonic(),
        "bytes": dict(_bytes_by_kind),
        "samples": [[count, list(stack)] for stack, count in _samples.items()],
    }
    partial_path = path.with_suffix(".part")
    partial_path.write_text(json.dumps(document))
    partial_path.rename(path)
    signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S)


if __name__ == "__main__":
    _wrap_sockets()
    settings = Path(sys.argv[sys.argv.index("--settings") + 1])
    signal.signal(signal.SIGUSR1, lambda *_: _dump(settings.with_suffix(".measured.json")))
    signal.signal(signal.SIGPROF, _take_sample)
    signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S)
    main(prog_name="damasktide")
