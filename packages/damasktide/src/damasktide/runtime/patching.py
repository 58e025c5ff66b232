"""Patches of the standard library at the start of a process."""

from functools import cache
from importlib import metadata

from gevent import monkey


def patch_standard_library() -> None:
    """Make the blocking calls of the standard library cooperate with gevent.

    gevent looks for plugins in all installed distributions before and after each module that it
    patches, 25 times in all, which took a quarter of the processor time of a start. The
    distributions do not change meanwhile, so each kind of plugin is looked up once.
    """
    look_up = metadata.entry_points
    metadata.entry_points = cache(look_up)  # type: ignore[assignment]
    try:
        monkey.patch_all()
    finally:
        metadata.entry_points = look_up
