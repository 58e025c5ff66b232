"""Polls the platform's list of live and leaving backend servers."""

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from loguru import logger
from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError

from damasktide.balancing.targets import Target
from damasktide.runtime.task import Task, every

POLL_INTERVAL_S = 0.5
_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class TargetsListed:
    """Reports the targets of a live list that has changed.

    Attributes
    ----------
    targets
        Backend servers of all services on the list.
    """

    targets: tuple[Target, ...]


def decode_live_list(text: str | bytes) -> tuple[Target, ...]:
    """Return the targets of a live list; skip malformed entries."""
    return tuple(_decode_entries(json.loads(text)["instances"]))


def _decode_entries(entries: list[dict[str, Any]]) -> Iterator[Target]:
    for entry in entries:
        try:
            yield Target(
                server_id=str(entry["server_id"]),
                service=str(entry["service"]),
                domain=str(entry["domain"]),
                region=str(entry["region"]),
                host=str(entry["host"]),
                port=int(entry["port"]),
                slots=int(entry.get("slots", 6)),
                connections=int(entry.get("connections", 110)),
                leaving=entry.get("state") == "leaving",
            )
        except (KeyError, TypeError, ValueError) as error:
            logger.bind(entry=entry).warning("malformed entry of the live list ignored: {}", error)


class LiveListTask(Task):
    """Polls the live list and publishes each change.

    If the list cannot be read, the previous one stays in use.

    Parameters
    ----------
    url
        URL of the live list.
    publish
        Called with :class:`TargetsListed` when the list has changed.
    """

    def __init__(self, url: str, publish: Callable[[TargetsListed], None], **kwargs: Any) -> None:
        super().__init__("live-list", **kwargs)
        self._url = url
        self._publish = publish
        self._last_targets: tuple[Target, ...] | None = None
        self._pool = PoolManager(
            timeout=Timeout(total=_TIMEOUT_S), retries=Retry(False), maxsize=1
        )

    @every(POLL_INTERVAL_S)
    def _poll(self) -> None:
        try:
            response = self._pool.request("GET", self._url)
            targets = decode_live_list(response.data)
        except (HTTPError, ValueError, KeyError, TypeError) as error:
            logger.bind(task=self.name).debug("reading the live list failed: {}", error)
            return
        if response.status == 200 and targets != self._last_targets:
            self._last_targets = targets
            self._publish(TargetsListed(targets))
