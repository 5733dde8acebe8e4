"""What becomes of wishes to admit something, and what is to be sent."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from worksrail.core.limits._messages import LimitMessage

Ticket = int
"""Names a wish that waits for the owner's word; its user's choice."""


@unique
class Admission(Enum):
    """What became of a wish to admit something."""

    ADMITTED = 'it may go on'
    WAITING = 'the owner of the limit was asked'
    DENIED = 'the limit is reached'


@dataclass(frozen=True, slots=True)
class Verdict:
    """The answer to a wish to admit something."""

    admission: Admission
    """What became of it."""

    wait: float = 0
    """Seconds after which another try finds a token, if it was denied."""


@dataclass(frozen=True, slots=True)
class Settled:
    """A wish that waited has its verdict."""

    ticket: Ticket
    """The wish."""

    verdict: Verdict
    """Admitted or denied."""


@dataclass(frozen=True, slots=True)
class Addressed:
    """A message to another entry."""

    peer: str
    """Its address."""

    message: LimitMessage
    """What to tell it."""


LimitOutput = Settled | Addressed

ADMITTED: Final = Verdict(Admission.ADMITTED)
WAITING: Final = Verdict(Admission.WAITING)
