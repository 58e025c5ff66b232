"""Registries of implementations by name, filled by decorators."""

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


class Registry(Generic[K, V]):
    """Maps keys to implementations.

    Parameters
    ----------
    kind
        What the registry holds, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._item_by_key: dict[K, V] = {}

    def register(self, key: K) -> Callable[[V], V]:
        """Return a decorator that registers its argument under ``key``.

        Raises
        ------
        ValueError
            If ``key`` is already registered.
        """

        def decorate(item: V) -> V:
            if key in self._item_by_key:
                raise ValueError(f"{self._kind} {key!r} is registered twice")
            self._item_by_key[key] = item
            return item

        return decorate

    def get(self, key: K) -> V:
        """Return the item registered under ``key``.

        Raises
        ------
        KeyError
            If ``key`` is unknown; the message lists the known keys.
        """
        try:
            return self._item_by_key[key]
        except KeyError:
            known = ", ".join(str(known_key) for known_key in self._item_by_key)
            raise KeyError(f"unknown {self._kind} {key!r}; known: {known}") from None

    def __contains__(self, key: object) -> bool:
        return key in self._item_by_key

    def __iter__(self) -> Iterator[K]:
        return iter(self._item_by_key)
