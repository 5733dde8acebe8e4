"""What answers prove about the execution of a request.

An answer proves that a request was not executed only if it states so and names
that request.  A status alone proves nothing, even one that callers take for a
promise, and neither does an answer that names another request or none.
"""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

_MIN_FAILURE: Final = 400


@unique
class NamedRequest(Enum):
    """Which request an answer names by its identifier."""

    THIS = 'the request that was sent'
    ANOTHER = 'another request'
    NONE = 'no request'
    UNCLEAR = 'the request that was sent has no identifier'

    @classmethod
    def from_identifier(cls, named: str, sent: str) -> 'NamedRequest':
        """Compare the identifier in an answer with that of the request.

        >>> NamedRequest.from_identifier('', 'r-1').name
        'NONE'
        """
        if not sent:
            return cls.UNCLEAR
        if not named:
            return cls.NONE
        return cls.THIS if named == sent else cls.ANOTHER


@unique
class Verdict(Enum):
    """What follows from the head of an answer for the request that was sent."""

    ANSWERS = 'it is the answer to the request'
    NOT_EXECUTED = 'the upstream did not execute the request'
    OTHER_UPSTREAM = 'another upstream has the address and did not execute it'
    UNPROVEN = 'it refuses the request, which may have been executed'
    STRAY = 'it belongs to another request, or to none'
    SPOILED = 'it may belong to the request or not'


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the head of an answer says of the execution of a request."""

    status: int
    """HTTP status."""

    stated: bool
    """Whether it states that the request was not executed."""

    named: NamedRequest
    """Whose answer it is."""

    promises: bool = False
    """Whether callers take its status for a promise that the request was not
    executed and will not be."""

    misdirected: bool = False
    """Whether its status says that another upstream has the address."""

    @property
    def verdict(self) -> Verdict:
        """Conclude what the answer proves.

        >>> AnswerHead(503, True, NamedRequest.THIS, promises=True).verdict.name
        'NOT_EXECUTED'
        >>> AnswerHead(503, True, NamedRequest.NONE, promises=True).verdict.name
        'STRAY'
        """
        if self.named is NamedRequest.THIS:
            return self._own_verdict
        if self.named is NamedRequest.ANOTHER:
            return Verdict.STRAY
        if not self.stated and not self.promises:
            return Verdict.SPOILED
        # Upstreams name each request that has an identifier.
        if self.named is NamedRequest.NONE:
            return Verdict.STRAY
        return Verdict.UNPROVEN

    @property
    def _own_verdict(self) -> Verdict:
        if not self.stated:
            return Verdict.UNPROVEN if self.promises else Verdict.ANSWERS
        if self.status < _MIN_FAILURE:
            return Verdict.UNPROVEN
        if self.misdirected:
            return Verdict.OTHER_UPSTREAM
        return Verdict.NOT_EXECUTED


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """Use of a connection until a request was sent on it."""

    age: float = 0
    """Seconds since it was opened."""

    requests: int = 0
    """Number of requests sent on it, this one included."""


@dataclass(frozen=True, slots=True)
class Origin:
    """What came back on the connection of an attempt."""

    heads: tuple[AnswerHead, ...] = ()
    """Heads of the answers, in the order of their arrival."""

    connection: ConnectionUse = ConnectionUse()
    """Use of the connection."""


NO_ORIGIN = Origin()
"""Nothing came back."""
