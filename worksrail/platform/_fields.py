"""Typed access to the fields of the platform's documents."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

# Largest integer that entries can hand each other: one of 64 bits with a sign.
_MAX_INTEGER: Final = 9_223_372_036_854_775_807
# Characters of a foreign text that a message shows.
_MAX_SHOWN: Final = 100


class MalformedDocumentError(ValueError):
    """A document of the platform lacks a field or has one of a wrong type."""


@dataclass(frozen=True, slots=True)
class Fields:
    """One JSON object of a document, with type checks on each access.

    >>> Fields({'Slots': 3}, 'entry').integer('Slots')
    3
    """

    table: dict[str, Any]
    """The decoded JSON object."""

    location: str
    """Path of the object within the document, for error messages."""

    @classmethod
    def from_value(cls, table: Any, location: str) -> 'Fields':
        """Check that a value is a JSON object and wrap it."""
        if not isinstance(table, dict):
            raise MalformedDocumentError(f'expected an object at {location}')
        return cls(table, location)

    def string(self, name: str) -> str:
        """Return a required, non-empty string."""
        raw = self.table.get(name)
        if not is_text(raw) or not raw:
            raise self.error(name, 'a string')
        return str(raw)

    def integer(self, name: str, default: int | None = None) -> int:
        """Return an integer."""
        raw = self.table.get(name, default)
        if not isinstance(raw, int) or isinstance(raw, bool):
            raise self.error(name, 'an integer')
        if abs(raw) > _MAX_INTEGER:
            raise self.error(name, 'an integer of 64 bits')
        return raw

    def integer_from(
        self,
        name: str,
        minimum: int,
        default: int | None = None,
    ) -> int:
        """Return an integer that is at least the minimum."""
        raw = self.integer(name, default)
        if raw < minimum:
            raise self.error(name, f'an integer from {minimum} up')
        return raw

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number."""
        raw = self.table.get(name, default)
        if not isinstance(raw, int | float) or isinstance(raw, bool):
            raise self.error(name, 'a number')
        try:
            return float(raw)
        except OverflowError as error:
            raise self.error(name, 'a number') from error

    def number_in_range(
        self,
        name: str,
        minimum: float,
        below: float,
        default: float | None = None,
    ) -> float:
        """Return a number with ``minimum <= number < below``, not NaN."""
        raw = self.number(name, default)
        if not minimum <= raw < below:
            raise self.error(name, f'a number from {minimum} to {below}')
        return raw

    def flag(self, name: str) -> bool:
        """Return whether a field is true; a missing one is false."""
        return self.table.get(name) is True

    def strings(self, name: str) -> tuple[str, ...]:
        """Return a list of strings; empty if the field is missing."""
        raw = self.table.get(name) or []
        if not isinstance(raw, list):
            raise self.error(name, 'a list')
        if not all(map(is_text, raw)):
            raise self.error(name, 'a list of strings')
        return tuple(raw)

    def nested(self, name: str) -> 'Fields':
        """Return a nested object."""
        return Fields.from_value(
            self.table.get(name), f'{self.location}.{name}'
        )

    def rows(self, name: str) -> 'Iterator[Fields]':
        """Yield the objects of a table of column names and rows of values."""
        encoded = self.nested(name)
        columns = encoded.strings('Columns')
        rows = encoded.table.get('Rows')
        if not isinstance(rows, list):
            raise self.error(name, 'rows')
        for number, row in enumerate(rows):
            location = f'{self.location}.{name}[{number}]'
            if not isinstance(row, list) or len(row) != len(columns):
                raise MalformedDocumentError(
                    f'expected {len(columns)} values at {location}'
                )
            pairs = zip(columns, row, strict=True)
            present = {key: cell for key, cell in pairs if cell is not None}
            yield Fields(present, location)

    def error(self, name: str, expected: str) -> MalformedDocumentError:
        """Return the exception for a field that is missing or malformed."""
        return MalformedDocumentError(
            f'expected {expected} as {name} at {shown(self.location)}'
        )


def is_text(raw: Any) -> bool:
    r"""Return whether a value is a string that can be encoded.

    JSON can name a lone surrogate, which no encoding has.

    >>> is_text('i-1'), is_text('i-\udcff')
    (True, False)
    """
    if not isinstance(raw, str):
        return False
    try:
        raw.encode()
    except UnicodeEncodeError:
        return False
    return True


def shown(text: str) -> str:
    """Return the begin of a foreign text, as it may stand in a message."""
    return text[:_MAX_SHOWN].encode('ascii', 'backslashreplace').decode()
