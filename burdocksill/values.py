"""Base class of value objects."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any, Self


class Value:
    """Value object that is compared by the fields in `__slots__`.

    Used instead of attrs where a node needs it before its first packet: attrs
    generates and compiles methods for each class at every start, which takes
    longer than all other imports together.
    """

    __slots__: tuple[str, ...] = ()

    def __eq__(self, other: object) -> bool:
        """Return True for the same type with equal fields."""
        return isinstance(other, type(self)) and all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__
        )

    def __hash__(self) -> int:
        """Return the hash of the fields."""
        return hash(tuple(getattr(self, name) for name in self.__slots__))

    def __repr__(self) -> str:
        """Return the type name with its fields."""
        fields = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in self.__slots__
        )
        return f'{type(self).__name__}({fields})'

    def evolve(self, **fields: Any) -> Self:
        """Return a copy with other fields."""
        fields_before = {name: getattr(self, name) for name in self.__slots__}
        return type(self)(**(fields_before | fields))
