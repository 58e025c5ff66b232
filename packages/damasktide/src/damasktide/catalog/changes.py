"""Applies changes to the configuration: writes the object, then the row conditionally."""

from dataclasses import dataclass, replace
from enum import Enum

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from damasktide.catalog.canonical import decode_catalog
from damasktide.catalog.configuration import (
    CONFIGURATION_KEY,
    Configuration,
    decode_configuration,
    encode_configuration,
)
from damasktide.catalog.edits import edits
from damasktide.catalog.lists import Catalog
from damasktide.store.asking import StoreAsker, ask_store
from damasktide.store.messages import ReadObject, ReadRow, WriteObject
from damasktide.store.object_client import object_name
from damasktide.store.rows import Row, StoreError, StoreErrorKind, WriteRow


@dataclass(frozen=True, slots=True)
class Change:
    """A change requested by an operator.

    Attributes
    ----------
    author
        Name of the operator.
    change_id
        Id of the change; a repeat has the same id and the same ``based_on``.
    edit
        Name of the edit in the registry.
    argument
        Argument of the edit; new lists replace it by the name of their object.
    based_on
        Version that the change is based on, or None for the current one. A repeat specifies it,
        because the row keeps only its last changes.
    lists
        Canonical JSON of the new lists, or None.
    repeated
        Whether an earlier attempt with this id may have taken effect.
    """

    author: str
    change_id: str
    edit: str
    argument: str = ""
    based_on: int | None = None
    lists: bytes | None = None
    repeated: bool = False


class ApplyErrorKind(Enum):
    """Reasons for which a change can fail."""

    CONFLICT = "conflict"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    UNRESOLVED = "unresolved"
    HISTORY_EXCEEDED = "history_exceeded"


@dataclass(frozen=True, slots=True)
class ApplyError:
    """A change that did not take effect, or whose outcome is unknown.

    Attributes
    ----------
    kind
        Kind of failure.
    detail
        Explanation for the operator.
    based_on
        Version that the change was based on, if known.
    current
        The configuration in the store, for a conflict and for a repeat beyond the history.
    """

    kind: ApplyErrorKind
    detail: str
    based_on: int | None = None
    current: Configuration | None = None


@dataclass(frozen=True, slots=True)
class Applied:
    """A durable change.

    Attributes
    ----------
    version
        Version that the change created, or the current one if the change had no effect.
    based_on
        Version that the change was based on.
    changed
        Whether this attempt or an earlier one created a version.
    """

    version: int
    based_on: int
    changed: bool


ApplyResult = Result[Applied, ApplyError]


def read_configuration(store: StoreAsker) -> Result[tuple[Row, Configuration], ApplyError]:
    """Read and decode the row of the configuration."""
    read = ask_store(store, ReadRow(CONFIGURATION_KEY))
    if not is_successful(read):
        return Failure(_store_failure(read.failure(), None))
    row = read.unwrap().row
    try:
        return Success((row, decode_configuration(row.version, row.body)))
    except ValueError as error:
        return Failure(ApplyError(ApplyErrorKind.REFUSED, str(error)))


def read_catalog(store: StoreAsker) -> Result[tuple[Configuration, Catalog], ApplyError]:
    """Read the configuration and its lists; both are empty before the first change."""
    return read_configuration(store).bind(
        lambda row_and_configuration: _fetch_catalog(store, row_and_configuration[1])
    )


def apply_change(store: StoreAsker, change: Change) -> ApplyResult:
    """Apply a change; a success means that it is durable.

    Raises
    ------
    KeyError
        If the edit is not registered.
    """
    applied = _apply(store, change)
    return applied.alt(_as_unresolved) if change.repeated else applied


def _apply(store: StoreAsker, change: Change) -> ApplyResult:
    if change.lists is not None:
        # The object is stored first, so that a row never references a missing object.
        name = object_name(change.lists)
        stored = ask_store(store, WriteObject(name, change.lists))
        if not is_successful(stored):
            return Failure(_store_failure(stored.failure(), change.based_on))
        change = replace(change, argument=name)
    return read_configuration(store).bind(
        lambda row_and_configuration: _write_change(store, change, *row_and_configuration)
    )


def _fetch_catalog(
    store: StoreAsker, configuration: Configuration
) -> Result[tuple[Configuration, Catalog], ApplyError]:
    if not configuration.object_name:
        return Success((configuration, Catalog((), ())))
    fetched = ask_store(store, ReadObject(configuration.object_name))
    if not is_successful(fetched):
        return Failure(_store_failure(fetched.failure(), None))
    try:
        return Success((configuration, decode_catalog(fetched.unwrap())))
    except ValueError as error:
        return Failure(ApplyError(ApplyErrorKind.REFUSED, str(error)))


def _write_change(
    store: StoreAsker, change: Change, row: Row, current: Configuration
) -> ApplyResult:
    for applied in row.changes:
        if applied.change_id == change.change_id:
            return Success(Applied(applied.version, applied.version - 1, changed=True))
    based_on = row.version if change.based_on is None else change.based_on
    if based_on != row.version:
        # The new body is derived from the row just read, so it is valid for that base only.
        return Failure(_stale_base_error(change, based_on, row, current))
    edited = edits.get(change.edit)(current, change.argument)
    if not edited.object_name:
        detail = "there are no lists yet; apply customers and plans first"
        return Failure(ApplyError(ApplyErrorKind.REFUSED, detail, based_on))
    if edited == current:
        return Success(Applied(based_on, based_on, changed=False))
    new_configuration = replace(
        edited, author=change.author, change_id=change.change_id, based_on=based_on
    )
    body = encode_configuration(new_configuration)
    message = WriteRow(CONFIGURATION_KEY, body, based_on, change.change_id, change.repeated)
    written = ask_store(store, message)
    if not is_successful(written):
        return Failure(_store_failure(written.failure(), based_on))
    return Success(Applied(written.unwrap().version, based_on, changed=True))


def _as_unresolved(error: ApplyError) -> ApplyError:
    """Return the error of a repeat.

    If the store is unavailable, it is unresolved whether an earlier attempt took effect.
    """
    if error.kind is ApplyErrorKind.UNAVAILABLE:
        return replace(error, kind=ApplyErrorKind.UNRESOLVED)
    return error


def _stale_base_error(
    change: Change, based_on: int, row: Row, current: Configuration
) -> ApplyError:
    if change.repeated and not row.history_covers(based_on + 1):
        return _history_exceeded(based_on, current)
    return _conflict(based_on, current)


def _history_exceeded(based_on: int, current: Configuration) -> ApplyError:
    detail = (
        f"version {current.version} is current and no longer tells whether the earlier attempt "
        f"took effect as version {based_on + 1}"
    )
    return ApplyError(ApplyErrorKind.HISTORY_EXCEEDED, detail, based_on, current)


def _conflict(based_on: int, current: Configuration) -> ApplyError:
    detail = (
        f"the change is based on version {based_on}, "
        f"but {current.author or 'nobody'} has made version {current.version}"
    )
    return ApplyError(ApplyErrorKind.CONFLICT, detail, based_on, current)


def _store_failure(error: StoreError, based_on: int | None) -> ApplyError:
    if error.current is not None:
        try:
            current = decode_configuration(error.current.version, error.current.body)
        except ValueError as malformed:
            return ApplyError(ApplyErrorKind.REFUSED, str(malformed), based_on)
        is_conflict = error.kind is StoreErrorKind.CONFLICT
        return (_conflict if is_conflict else _history_exceeded)(based_on or 0, current)
    kind = _APPLY_KIND_BY_STORE_KIND.get(error.kind, ApplyErrorKind.REFUSED)
    return ApplyError(kind, error.detail, based_on)


_APPLY_KIND_BY_STORE_KIND = {
    StoreErrorKind.UNAVAILABLE: ApplyErrorKind.UNAVAILABLE,
    StoreErrorKind.UNRESOLVED: ApplyErrorKind.UNRESOLVED,
}
