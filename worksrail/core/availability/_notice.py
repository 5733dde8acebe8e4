"""Parses what the head of an answer states about its upstream."""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime
from enum import Enum, unique
from typing import Final

MAX_BACKOFF: Final = 600.0
"""Maximum seconds for which one answer makes an upstream unavailable, so that
no nonsensical value takes an upstream out of service for good."""

_UNAVAILABLE_STATUS: Final = 503
_DECIMAL: Final = re.compile(r'\d+(\.\d+)?(e\+?\d{1,2})?', re.ASCII)
_TRUE_WORDS: Final = frozenset(('1', 'true'))
_FALSE_WORDS: Final = frozenset(('0', 'false'))


@unique
class Statement(Enum):
    """A statement that an answer can make."""

    LEAVING = 'the upstream is shutting down'
    BACKOFF = 'the upstream wants no requests for some time'


@unique
class NoStatement(Enum):
    """Sentinel: why a header states nothing."""

    UNREADABLE = 'expected 0 or 1, or a number of seconds or a date'


@dataclass(frozen=True, slots=True)
class AvailabilityNotice:
    """What the head of one answer states about the upstream that sent it."""

    leaving: bool = False
    """Whether it is shutting down and takes no new requests."""

    backoff: float = 0
    """Seconds for which it wants no requests from this instance; zero if it
    asked for none."""

    unreadable: tuple[Statement, ...] = ()
    """Statements that could not be parsed and are ignored."""

    @property
    def is_empty(self) -> bool:
        """Return whether the answer states nothing."""
        return self == NO_NOTICE


NO_NOTICE: Final = AvailabilityNotice()
"""The notice of an answer that states nothing."""


def read_notice(
    status: int,
    leaving: Sequence[str],
    retry_after: Sequence[str],
    date: str,
    wall: float,
) -> AvailabilityNotice:
    """Return the notice in the values of two headers, one per occurrence.

    ``date`` is the value of the ``Date`` header, from which a date in
    ``Retry-After`` is counted; if it is empty, ``wall`` takes its place, the
    wall-clock time in seconds.  Only answers with status 503 ask for a backoff:
    with 429 the header concerns the user who sent too many requests (RFC 6585).

    >>> read_notice(503, [], ['3'], '', 0).backoff
    3.0
    >>> read_notice(200, ['1'], ['3'], '', 0)
    AvailabilityNotice(leaving=True, backoff=0, unreadable=())
    """
    if not leaving and not retry_after:
        return NO_NOTICE
    says_leaving = parse_leaving(leaving)
    backoff: float | NoStatement = 0
    if status == _UNAVAILABLE_STATUS:
        backoff = parse_backoff(retry_after, date, wall)
    unreadable = (
        (Statement.LEAVING, isinstance(says_leaving, NoStatement)),
        (Statement.BACKOFF, isinstance(backoff, NoStatement)),
    )
    return AvailabilityNotice(
        says_leaving is True,
        0 if isinstance(backoff, NoStatement) else backoff,
        tuple(
            statement
            for statement, is_unreadable in unreadable
            if is_unreadable
        ),
    )


def parse_leaving(texts: Sequence[str]) -> bool | NoStatement:
    """Return whether an upstream says that it is shutting down.

    Repeated values must agree.

    >>> parse_leaving(['1']), parse_leaving(['0']), parse_leaving([])
    (True, False, False)
    >>> parse_leaving(['1', '0']).name, parse_leaving(['']).name
    ('UNREADABLE', 'UNREADABLE')
    """
    words = {text.strip().lower() for text in texts}
    if words <= _FALSE_WORDS:
        return False
    return True if words <= _TRUE_WORDS else NoStatement.UNREADABLE


def parse_backoff(
    texts: Sequence[str],
    date: str,
    wall: float,
) -> float | NoStatement:
    """Return the seconds that an upstream asks for, at most ``MAX_BACKOFF``.

    The longest of several values counts.  A time in the past is a backoff of
    zero seconds.

    >>> parse_backoff(['0.5', '3'], '', 0), parse_backoff(['1e9'], '', 0)
    (3.0, 600.0)
    >>> parse_backoff(
    ...     ['Fri, 04 Dec 2026 00:00:07 GMT'],
    ...     'Fri, 04 Dec 2026 00:00:02 GMT',
    ...     0,
    ... )
    5.0
    >>> parse_backoff(['soon'], '', 0).name, parse_backoff(['-1'], '', 0).name
    ('UNREADABLE', 'UNREADABLE')
    """
    longest: float = 0
    for text in texts:
        seconds = _parse_seconds(text.strip(), date, wall)
        if isinstance(seconds, NoStatement):
            return seconds
        longest = max(longest, seconds)
    return min(MAX_BACKOFF, longest)


def _parse_seconds(text: str, date: str, wall: float) -> float | NoStatement:
    if _DECIMAL.fullmatch(text):
        return float(text)
    end = _parse_date(text)
    if end is not None:
        sent_at = _parse_date(date)
        begin = wall if sent_at is None else sent_at.timestamp()
        return max(0, end.timestamp() - begin)
    parts = [part.strip() for part in text.split(',')]
    if all(map(_DECIMAL.fullmatch, parts)):
        return max(map(float, parts))
    return NoStatement.UNREADABLE


def _parse_date(text: str) -> datetime | None:
    try:
        parsed = parsedate_to_datetime(text)
    except (ValueError, OverflowError):
        return None
    # HTTP dates are in GMT, also where the zone is missing.
    return parsed.replace(tzinfo=parsed.tzinfo or UTC)
