"""The rate limit that an answer of an upstream names, read and bounded."""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

# Digits before the point and after it; longer ones are no rate of an upstream.
_DECIMAL: Final = re.compile(r'\d{1,12}(\.\d{1,12})?(e\+?\d)?', re.ASCII)


@unique
class NoRate(Enum):
    """Sentinel: why an answer gives no rate."""

    NOT_NAMED = 'the answer names no limit'
    UNREADABLE = 'expected one decimal number, zero or more'


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """What the head of one answer says of its upstream's limit."""

    rate: float | NoRate
    """Requests a second that it takes from all instances together."""

    received_at: float
    """When the head was read."""


def read_rate(texts: Sequence[str]) -> float | NoRate:
    """The rate in the values of a header, one for each time it came.

    The least one counts if there are several.

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
