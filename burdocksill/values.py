"""Base of data that is compared by its fields."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any, Self


class Value:
    """Compare, show and copy data by the fields that `__slots__` names.

    What a node needs before its first packet is plain classes: attrs writes
    and compiles methods for each class at every start, which takes longer
    there than all other imports together.
    """

    __slots__: tuple[str, ...] = ()

    def __eq__(self, other: object) -> bool:
        """Return True for the same type with the same fields."""
        return isinstance(other, type(self)) and all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__
        )

    def __hash__(self) -> int:
        """Return a number that is the same for equal data."""
        return hash(tuple(getattr(self, name) for name in self.__slots__))

    def __repr__(self) -> str:
        """Write the type and its fields."""
        fields = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in self.__slots__
        )
        return f'{type(self).__name__}({fields})'

    def evolve(self, **fields: Any) -> Self:
        """Return a copy with other fields."""
        kept = {name: getattr(self, name) for name in self.__slots__}
        return type(self)(**(kept | fields))
