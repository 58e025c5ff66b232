"""Messages of the store task, besides :class:`damasktide.store.rows.WriteRow`."""

from dataclasses import dataclass

from damasktide.store.rows import WriteRow


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Asks for a consistent read; the reply is ``Result[RowRead, StoreError]``."""

    key: str


@dataclass(frozen=True, slots=True)
class ReadVersion:
    """Asks for a row's version only; the reply is ``Result[VersionRead, StoreError]``."""

    key: str


@dataclass(frozen=True, slots=True)
class WriteRows:
    """Asks for writes that take effect together or not at all.

    The reply is ``Result[tuple[Row, ...], StoreError]``. All writes carry the same change id.
    """

    writes: tuple[WriteRow, ...]


@dataclass(frozen=True, slots=True)
class ReadObject:
    """Asks for an object by name (SHA-256); the reply is ``Result[bytes, StoreError]``."""

    name: str


@dataclass(frozen=True, slots=True)
class WriteObject:
    """Asks for an object to be stored; the reply is ``Result[str, StoreError]`` with the name.

    Attributes
    ----------
    name
        SHA-256 of the content in hexadecimal.
    data
        The content.
    """

    name: str
    data: bytes
