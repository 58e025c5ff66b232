"""Measures the memory and processor time of the deduplicator's request records."""

import time
import tracemalloc
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b

import click

from damasktide.idempotency.placement import IDENTITY_BYTES
from damasktide.idempotency.records import Completed
from damasktide.idempotency.request_history import Proceed, RequestHistory

RECORD_COUNTS = (10_000, 40_000, 80_000, 160_000)
BODY_SIZES_BYTES = (0, 64, 128)


@dataclass(frozen=True, slots=True)
class Sample:
    """Memory and processor time of a number of request records.

    Attributes
    ----------
    records
        Number of records.
    body_bytes
        Length of each stored response body.
    memory_bytes
        Memory of all records, measured with tracemalloc.
    fill_s
        Processor time to begin and finish all requests, without tracemalloc.
    sweep_s
        Processor time of one sweep that removes all records.
    """

    records: int
    body_bytes: int
    memory_bytes: int
    fill_s: float
    sweep_s: float


def measure(records: int, body_bytes: int) -> Sample:
    """Fill a request history twice: once to measure memory and once to measure time."""
    tracemalloc.start()
    history = _fill(records, body_bytes)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del history
    started_at = time.process_time()
    history = _fill(records, body_bytes)
    filled_at = time.process_time()
    history.sweep(1000.0)
    swept_at = time.process_time()
    return Sample(records, body_bytes, memory_bytes, filled_at - started_at, swept_at - filled_at)


def _fill(records: int, body_bytes: int) -> RequestHistory:
    history = RequestHistory(max_records=records)
    for number in range(records):
        identity = blake2b(number.to_bytes(8), digest_size=IDENTITY_BYTES).digest()
        decision = history.begin(identity, 1, 1.0, 0.0)
        if not isinstance(decision, Proceed):
            raise RuntimeError(f"record {number} was refused: {decision}")
        # Each body is a separate object, as it is when it is read from a socket.
        body = bytes(bytearray(body_bytes))
        history.finish(identity, decision.run, Completed(201, "application/json", body), 0.0)
    return history


def samples() -> Iterator[Sample]:
    """Yield a sample for each combination of body size and number of records."""
    for body_bytes in BODY_SIZES_BYTES:
        for records in RECORD_COUNTS:
            yield measure(records, body_bytes)


@click.command()
def main() -> None:
    """Measure the memory and processor time of the deduplicator's request records."""
    click.echo(f"{'body':>5} {'records':>8} {'MB':>7} {'bytes/record':>13} {'us/request':>11}")
    for sample in samples():
        per_record = sample.memory_bytes / sample.records
        per_request_us = (sample.fill_s + sample.sweep_s) / sample.records * 1e6
        click.echo(
            f"{sample.body_bytes:>5} {sample.records:>8} {sample.memory_bytes / 1e6:>7.2f} "
            f"{per_record:>13.1f} {per_request_us:>11.2f}"
        )


if __name__ == "__main__":
    main()
