"""Applies a change to the configuration: the object first, then the conditional row write."""

from dataclasses import dataclass, replace
from enum import Enum

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from damasktide.catalog.configuration import (
    CONFIGURATION_KEY,
    Configuration,
    decode_configuration,
    encode_configuration,
)
from damasktide.catalog.edits import edits
from damasktide.store.asking import StoreAsker, ask_store
from damasktide.store.messages import ReadRow, WriteObject
from damasktide.store.object_client import object_name
from damasktide.store.rows import Row, StoreError, StoreErrorKind, WriteRow


@dataclass(frozen=True, slots=True)
class Change:
    """A change that an operator asks for.

    Attributes
    ----------
    author
        Who asks.
    change_id
        Id of the change; a repeat carries the same id and the same ``based_on``.
    edit
        Name in the registry of edits.
    argument
        Argument of the edit; unused for new lists.
    based_on
        Version that the author saw, or None for the current one. A repeat names it, because
        the row remembers only its last changes.
    lists
        Canonical JSON of new lists, or None.
    """

    author: str
    change_id: str
    edit: str
    argument: str = ""
    based_on: int | None = None
    lists: bytes | None = None


class ApplyErrorKind(Enum):
    """Ways in which a change can fail."""

    CONFLICT = "conflict"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    UNRESOLVED = "unresolved"


@dataclass(frozen=True, slots=True)
class ApplyError:
    """A change that did not take effect, or whose fate is unknown.

    Attributes
    ----------
    kind
        What failed.
    detail
        Explanation for the operator.
    based_on
        Version that the change was based on, if known.
    current
        The configuration of the other change, for a conflict.
    """

    kind: ApplyErrorKind
    detail: str
    based_on: int | None = None
    current: Configuration | None = None


@dataclass(frozen=True, slots=True)
class Applied:
    """A change that is durable.

    Attributes
    ----------
    version
        Version that the change created, or the current one if it changed nothing.
    based_on
        Version that the change was based on.
    changed
        Whether a version was created, by this attempt or by an earlier one.
    """

    version: int
    based_on: int
    changed: bool


ApplyResult = Result[Applied, ApplyError]


def read_configuration(store: StoreAsker) -> Result[tuple[Row, Configuration], ApplyError]:
    """Read the row and decode it."""
    read = ask_store(store, ReadRow(CONFIGURATION_KEY))
    if not is_successful(read):
        return Failure(_store_failure(read.failure(), None))
    row = read.unwrap().row
    try:
        return Success((row, decode_configuration(row.version, row.body)))
    except ValueError as error:
        return Failure(ApplyError(ApplyErrorKind.REFUSED, str(error)))


def apply_change(store: StoreAsker, change: Change) -> ApplyResult:
    """Apply a change and return once it is durable.

    Raises
    ------
    KeyError
        If the registry has no such edit.
    """
    if change.lists is not None:
        # A row never names an object that is not yet stored.
        name = object_name(change.lists)
        stored = ask_store(store, WriteObject(name, change.lists))
        if not is_successful(stored):
            return Failure(_store_failure(stored.failure(), change.based_on))
        change = replace(change, argument=name)
    return read_configuration(store).bind(lambda known: _write_change(store, change, *known))


def _write_change(
    store: StoreAsker, change: Change, row: Row, current: Configuration
) -> ApplyResult:
    for applied in row.changes:
        if applied.change_id == change.change_id:
            return Success(Applied(applied.version, applied.version - 1, changed=True))
    based_on = row.version if change.based_on is None else change.based_on
    if based_on != row.version:
        return Failure(_conflict(based_on, current))
    edited = edits.get(change.edit)(current, change.argument)
    if not edited.object_name:
        detail = "there are no lists yet; apply customers and plans first"
        return Failure(ApplyError(ApplyErrorKind.REFUSED, detail, based_on))
    if edited == current:
        return Success(Applied(based_on, based_on, changed=False))
    wanted = replace(edited, author=change.author, change_id=change.change_id, based_on=based_on)
    body = encode_configuration(wanted)
    message = WriteRow(CONFIGURATION_KEY, body, based_on, change.change_id)
    written = ask_store(store, message)
    if not is_successful(written):
        return Failure(_store_failure(written.failure(), based_on))
    return Success(Applied(written.unwrap().version, based_on, changed=True))


def _conflict(based_on: int, current: Configuration) -> ApplyError:
    detail = (
        f"the change is based on version {based_on}, "
        f"but {current.author or 'nobody'} has made version {current.version}"
    )
    return ApplyError(ApplyErrorKind.CONFLICT, detail, based_on, current)


def _store_failure(error: StoreError, based_on: int | None) -> ApplyError:
    if error.kind is StoreErrorKind.CONFLICT and error.current is not None:
        try:
            current = decode_configuration(error.current.version, error.current.body)
        except ValueError as malformed:
            return ApplyError(ApplyErrorKind.REFUSED, str(malformed), based_on)
        return _conflict(based_on or 0, current)
    kind = _APPLY_KIND_BY_STORE_KIND.get(error.kind, ApplyErrorKind.REFUSED)
    return ApplyError(kind, error.detail, based_on)


_APPLY_KIND_BY_STORE_KIND = {
    StoreErrorKind.UNAVAILABLE: ApplyErrorKind.UNAVAILABLE,
    StoreErrorKind.UNRESOLVED: ApplyErrorKind.UNRESOLVED,
}
