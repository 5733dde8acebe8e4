"""Typed reading of the platform's documents."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any


class MalformedDocumentError(ValueError):
    """A document of the platform does not hold what it should."""


@dataclass(frozen=True, slots=True)
class Fields:
    """One table of a document; each access says what it expects.

    >>> Fields({'Slots': 3}, 'entry').whole('Slots')
    3
    """

    table: dict[str, Any]
    """The table."""

    where: str
    """Where it stands, for messages."""

    @classmethod
    def from_value(cls, table: Any, where: str) -> 'Fields':
        """Check that a value is a table."""
        if not isinstance(table, dict):
            raise MalformedDocumentError(f'expected a table at {where}')
        return cls(table, where)

    def text(self, name: str) -> str:
        """A text that must be there and not be empty."""
        found = self.table.get(name)
        if not isinstance(found, str) or not found:
            raise self.fault(name, 'a text')
        return found

    def whole(self, name: str, default: int | None = None) -> int:
        """A whole number."""
        found = self.table.get(name, default)
        if not isinstance(found, int) or isinstance(found, bool):
            raise self.fault(name, 'a whole number')
        return found

    def whole_from(
        self,
        name: str,
        least: int,
        default: int | None = None,
    ) -> int:
        """A whole number, no lower than the least."""
        found = self.whole(name, default)
        if found < least:
            raise self.fault(name, f'a whole number from {least} on')
        return found

    def number(self, name: str, default: float | None = None) -> float:
        """A number."""
        found = self.table.get(name, default)
        if not isinstance(found, int | float) or isinstance(found, bool):
            raise self.fault(name, 'a number')
        return float(found)

    def number_between(
        self,
        name: str,
        least: float,
        below: float,
        default: float | None = None,
    ) -> float:
        """A number in a range; not a number is in none."""
        found = self.number(name, default)
        if not least <= found < below:
            raise self.fault(name, f'a number from {least} to {below}')
        return found

    def flag(self, name: str) -> bool:
        """True or false; false when it is missing."""
        return self.table.get(name) is True

    def texts(self, name: str) -> tuple[str, ...]:
        """A list of texts; empty when it is missing."""
        found = self.table.get(name) or []
        if not isinstance(found, list):
            raise self.fault(name, 'a list')
        if not all(isinstance(entry, str) for entry in found):
            raise self.fault(name, 'a list of texts')
        return tuple(found)

    def part(self, name: str) -> 'Fields':
        """A table within this one."""
        return Fields.from_value(self.table.get(name), f'{self.where}.{name}')

    def rows(self, name: str) -> 'Iterator[Fields]':
        """Tables that are encoded as column names and rows of values."""
        encoded = self.part(name)
        columns = encoded.texts('Columns')
        rows = encoded.table.get('Rows')
        if not isinstance(rows, list):
            raise self.fault(name, 'rows')
        for number, row in enumerate(rows):
            where = f'{self.where}.{name}[{number}]'
            if not isinstance(row, list) or len(row) != len(columns):
                raise MalformedDocumentError(
                    f'expected {len(columns)} values at {where}'
                )
            pairs = zip(columns, row, strict=True)
            present = {key: found for key, found in pairs if found is not None}
            yield Fields(present, where)

    def fault(self, name: str, expected: str) -> MalformedDocumentError:
        """What to raise if a field is not what it should be."""
        return MalformedDocumentError(
            f'expected {expected} as {name} at {self.where}'
        )
