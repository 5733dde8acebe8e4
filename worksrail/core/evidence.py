"""What answers say of the execution of a request, and who says it."""

from dataclasses import dataclass
from enum import Enum, unique


@unique
class NamedRequest(Enum):
    """Which request an answer names by its identifier."""

    THIS = 'the request that was sent'
    ANOTHER = 'another request'
    NONE = 'no request'

    @classmethod
    def from_identifier(cls, named: str, sent: str) -> 'NamedRequest':
        """Compare the identifier in an answer with that of the request.

        >>> NamedRequest.from_identifier('', 'r-1').name
        'NONE'
        """
        if not named:
            return cls.NONE
        return cls.THIS if named == sent else cls.ANOTHER


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the head of an answer says of the execution of a request."""

    status: int
    """HTTP status."""

    stated: bool
    """Whether it states that the request was not executed."""

    named: NamedRequest
    """Whose answer it is."""


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
