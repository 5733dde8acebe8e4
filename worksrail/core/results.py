"""Numbered result codes: one table for callers, operators and docs.

Every refusal or failure that worksrail reports carries one of these codes.
The meaning of a number never changes.  ``docs/RESULTS.md`` is generated from
this table, and a test checks that the two match.
"""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

_EXIT_OK: Final = 0
_EXIT_REFUSED: Final = 3
_EXIT_CONFLICT: Final = 4
_EXIT_UNKNOWN: Final = 5
_EXIT_INVALID: Final = 2


@unique
class Certainty(Enum):
    """Whether the request was executed upstream, as far as is known."""

    NOT_RUN = 'not run'
    RUN = 'run'
    UNKNOWN = 'unknown'
    NOT_APPLICABLE = 'not applicable'


@dataclass(frozen=True, slots=True)
class ResultDefinition:
    """One row of the result table."""

    number: int
    """Stable number, sent as ``worksrail-result``."""

    certainty: Certainty
    """Whether the request was executed."""

    http_status: int
    """Status of the HTTP answer that carries the code."""

    exit_code: int
    """Exit code of the command-line tool."""

    meaning: str
    """What happened, in one sentence."""

    advice: str
    """What the caller or the operator should do next."""


def _not_run(
    number: int,
    status: int,
    meaning: str,
    advice: str,
) -> ResultDefinition:
    return ResultDefinition(
        number,
        Certainty.NOT_RUN,
        status,
        _EXIT_REFUSED,
        meaning,
        advice,
    )


def _unknown(
    number: int,
    status: int,
    meaning: str,
    advice: str,
) -> ResultDefinition:
    return ResultDefinition(
        number,
        Certainty.UNKNOWN,
        status,
        _EXIT_UNKNOWN,
        meaning,
        advice,
    )


def _operator(
    number: int,
    status: int,
    exit_code: int,
    meaning: str,
    advice: str,
) -> ResultDefinition:
    return ResultDefinition(
        number,
        Certainty.NOT_APPLICABLE,
        status,
        exit_code,
        meaning,
        advice,
    )


_RETRY_LATER: Final = 'Retry after the time in Retry-After.'
_RETRY_OTHER: Final = 'Retry at once at the entry named in worksrail-entry.'
_FIX_REQUEST: Final = 'Correct the request; a retry alone will not help.'
_READ_BACK: Final = 'Find out at the service whether it ran before repeating.'


@unique
class ResultCode(Enum):
    """All result codes.

    >>> ResultCode.CAP_REACHED.value.number
    2103
    """

    OK = ResultDefinition(
        1000,
        Certainty.RUN,
        200,
        _EXIT_OK,
        'The request was answered in full.',
        'Nothing to do.',
    )
    MALFORMED_REQUEST = _not_run(
        2001, 400, 'The HTTP message is malformed.', _FIX_REQUEST
    )
    AMBIGUOUS_LENGTH = _not_run(
        2002, 400, 'The length of the body is ambiguous.', _FIX_REQUEST
    )
    HEADERS_TOO_LARGE = _not_run(
        2003, 431, 'The header block exceeds the limit.', _FIX_REQUEST
    )
    UNKNOWN_SERVICE = _not_run(
        2004, 404, 'No service has this Host name.', _FIX_REQUEST
    )
    INVALID_TICKET = _not_run(
        2005, 400, 'The ticket is not one of ours.', 'Look up again.'
    )
    TICKET_EXPIRED = _not_run(
        2006, 409, 'The ticket has expired.', 'Look up again.'
    )
    KEY_WITHOUT_TICKET = _not_run(
        2007,
        428,
        'An idempotency key needs a ticket.',
        'Look up a ticket and send both.',
    )
    DEADLINE_EXPIRED = _not_run(
        2008, 504, 'The deadline had passed on arrival.', 'Allow more time.'
    )
    BODY_TOO_LARGE = _not_run(
        2009, 413, 'The body exceeds the limit.', _FIX_REQUEST
    )
    INVALID_DEADLINE = _not_run(
        2010, 400, 'The deadline header is no positive number.', _FIX_REQUEST
    )
    UNKNOWN_ROUTE = _not_run(
        2011, 404, 'No route has this host and path.', _FIX_REQUEST
    )
    UNKNOWN_KEY = _not_run(
        2012,
        401,
        'No customer holds this API key, or none was sent.',
        'Send a key that is in force; a retry alone will not help.',
    )
    NO_COMMON_REGION = _not_run(
        2013,
        403,
        'No region may serve both this customer and this route.',
        'Ask the operators; a retry alone will not help.',
    )
    NO_SLOT = _not_run(
        2101, 503, 'No upstream slot became free in time.', _RETRY_LATER
    )
    QUEUE_FULL = _not_run(
        2102, 503, 'The queue would outlast the request.', _RETRY_LATER
    )
    CAP_REACHED = _not_run(
        2103, 503, 'The shift cap leaves no room.', _RETRY_LATER
    )
    HEADROOM_REACHED = _not_run(
        2104, 503, 'The region keeps its headroom.', _RETRY_LATER
    )
    ENTRY_LEAVING = _not_run(2105, 503, 'This entry is leaving.', _RETRY_OTHER)
    NOT_READY = _not_run(
        2106, 503, 'This entry holds no configuration yet.', _RETRY_OTHER
    )
    UPSTREAM_SHED = _not_run(
        2107, 503, 'The upstream refused before running it.', _RETRY_LATER
    )
    UPSTREAM_UNREACHABLE = _not_run(
        2108, 503, 'No upstream connection could be made.', _RETRY_LATER
    )
    KEY_MEMORY_FULL = _not_run(
        2109, 503, 'The memory of executed keys is full.', _RETRY_LATER
    )
    PEER_UNREACHABLE = _not_run(
        2110,
        503,
        'The entry it goes to could not be reached; nothing was sent.',
        _RETRY_LATER,
    )
    QUOTA_REACHED = _not_run(
        2111, 429, 'The quota of the customer is used up.', _RETRY_LATER
    )
    KEY_UNCERTAIN = _not_run(
        2112,
        503,
        'The key is not known here, but this entry may be behind.',
        _RETRY_LATER,
    )
    REQUEST_HELD = _not_run(
        2113,
        503,
        'Upstreams crashed each time that they began this request.',
        'Do not repeat it before the time in Retry-After; tell the operators.',
    )
    UPSTREAMS_LIMITED = _not_run(
        2114,
        503,
        'The upstreams take no more requests a second.',
        _RETRY_LATER,
    )
    ENTRY_FULL = _not_run(
        2115,
        503,
        'The entry it was passed to has no capacity left for it.',
        _RETRY_LATER,
    )
    UPSTREAMS_LEAVING = _not_run(
        2116,
        503,
        'All upstreams are shutting down.',
        _RETRY_LATER,
    )
    UPSTREAMS_BACKING_OFF = _not_run(
        2117,
        503,
        'All upstreams have asked for no requests for some time.',
        _RETRY_LATER,
    )
    MEMORY_FULL = _not_run(
        2118,
        503,
        'This entry holds as many bytes as its memory allows.',
        _RETRY_LATER,
    )
    HANDLING_FAILED = _not_run(
        2119,
        503,
        'This entry failed before it sent the request.',
        _RETRY_LATER,
    )
    ALREADY_RUN = ResultDefinition(
        3001,
        Certainty.RUN,
        409,
        _EXIT_REFUSED,
        'This key has been executed before.',
        'Read the outcome at the service; do not repeat.',
    )
    UPSTREAM_BROKE = _unknown(
        4001, 502, 'The upstream connection broke after sending.', _READ_BACK
    )
    UPSTREAM_TIMEOUT = _unknown(
        4002, 504, 'The deadline passed after sending.', _READ_BACK
    )
    TICKET_OWNER_GONE = _unknown(
        4003, 409, 'The ticket owner has gone.', _READ_BACK
    )
    KEY_IN_PROGRESS = _unknown(
        4004, 409, 'This key is being executed now.', _READ_BACK
    )
    PEER_BROKE = _unknown(
        4005, 502, 'The entry it was passed to broke off.', _READ_BACK
    )
    UNVERIFIABLE_ANSWER = _unknown(
        4006, 502, 'The answer has no verifiable length.', _READ_BACK
    )
    SPOILED_ANSWER = _unknown(
        4007,
        502,
        'What the upstream sent is no answer to this request.',
        _READ_BACK,
    )
    ENTRY_STOPPED = _unknown(
        4008, 504, 'This entry had to exit before the answer came.', _READ_BACK
    )
    UNPROVEN_REFUSAL = _unknown(
        4009,
        502,
        'It was refused, but nothing proves that it was not run.',
        _READ_BACK,
    )
    HANDLING_BROKE = _unknown(
        4010,
        502,
        'This entry failed after it may have sent the request.',
        _READ_BACK,
    )
    INVALID_BUNDLE = _operator(
        5001, 422, _EXIT_INVALID, 'The bundle has faults.', 'Correct them.'
    )
    BUNDLE_TOO_LARGE = _operator(
        5002, 413, _EXIT_INVALID, 'The bundle exceeds the limit.', 'Split it.'
    )
    UNKNOWN_BUNDLE = _operator(
        5003, 404, _EXIT_REFUSED, 'No such bundle.', 'Submit it first.'
    )
    SELF_APPROVAL = _operator(
        5004,
        403,
        _EXIT_REFUSED,
        'The submitter may not approve.',
        'Ask another operator to approve.',
    )
    NOT_APPROVED = _operator(
        5005,
        409,
        _EXIT_REFUSED,
        'The bundle is not approved.',
        'Have this digest approved first.',
    )
    ROLL_CONFLICT = _operator(
        5006,
        409,
        _EXIT_CONFLICT,
        'Another change came first.',
        'Compare with the generation in force, then roll again.',
    )
    STORE_UNAVAILABLE = _operator(
        5007,
        503,
        _EXIT_UNKNOWN,
        'The platform store does not answer.',
        'Run the command again with the same operation id.',
    )
    UNAUTHENTICATED = _operator(
        5008, 401, _EXIT_REFUSED, 'No valid operator token.', 'Use a token.'
    )
    UNKNOWN_TARGET = _operator(
        5009, 404, _EXIT_REFUSED, 'No such drain target.', 'Check the name.'
    )
    DRAIN_BREAKS_HEADROOM = _operator(
        5010,
        409,
        _EXIT_REFUSED,
        'The drain would break the headroom.',
        'See the figures; drain less at once or raise capacity.',
    )
    CORRUPT_OBJECT = _operator(
        5011,
        409,
        _EXIT_REFUSED,
        'A stored object is corrupt or not ours.',
        'The configuration in force stays; repair or remove the object.',
    )
    INVALID_ARGUMENT = _operator(
        5012, 400, _EXIT_INVALID, 'An argument is invalid.', 'See the help.'
    )
    ENTRY_UNREACHABLE = _operator(
        5013,
        503,
        _EXIT_UNKNOWN,
        'No entry answered the operator call.',
        'Check the addresses given with --entries.',
    )
    INVALID_SETTINGS = _operator(
        6001,
        500,
        _EXIT_INVALID,
        'The settings have faults; nothing was started.',
        'Correct every named setting.',
    )

    @property
    def number(self) -> int:
        """Stable number of the code."""
        return self.value.number

    @property
    def certainty(self) -> Certainty:
        """Whether the request was executed."""
        return self.value.certainty

    @property
    def http_status(self) -> int:
        """HTTP status of the answer that carries this code."""
        return self.value.http_status


def code_by_number(number: int) -> ResultCode:
    """Find a code by its number; raises ``ValueError`` if it is unknown."""
    for code in ResultCode:
        if code.number == number:
            return code
    raise ValueError(f'expected a result number, got {number}')
