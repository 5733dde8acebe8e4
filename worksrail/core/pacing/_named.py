"""Parses the rate limit that an answer of an upstream names."""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

# At most 12 digits before and after the point; longer numbers are not valid
# rates.
_DECIMAL: Final = re.compile(r'\d{1,12}(\.\d{1,12})?(e\+?\d)?', re.ASCII)


@unique
class NoRate(Enum):
    """Sentinel: why an answer has no rate."""

    NOT_NAMED = 'the answer names no limit'
    UNREADABLE = 'expected one decimal number, zero or more'


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """The limit in the head of one answer."""

    rate: float | NoRate
    """Requests per second that the upstream accepts from all instances
    together."""

    received_at: float
    """When the head was read."""


def read_rate(texts: Sequence[str]) -> float | NoRate:
    """Return the rate in the values of a header, one per occurrence.

    The lowest one counts if there are several.

    >>> read_rate(['0.5']), read_rate(['7', '5.1'])
    (0.5, 5.1)
    >>> read_rate([]).name, read_rate(['5,1']).name
    ('NOT_NAMED', 'UNREADABLE')
    """
    if not texts:
        return NoRate.NOT_NAMED
    if not all(map(_DECIMAL.fullmatch, texts)):
        return NoRate.UNREADABLE
    return min(map(float, texts))
