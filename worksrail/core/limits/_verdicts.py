"""What becomes of wishes to admit something, and what is to be sent."""

import random
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from worksrail.core.limits._messages import LimitMessage

# Spread of the time after which denied callers shall come back, as multiples
# of the time at which a token is expected: those that an entry denies without
# asking the owner would else all come back in the same millisecond.
_RETURN_SPREAD: Final = (1.0, 1.3)

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

    def pause(self, rng: random.Random) -> float:
        """Seconds that a denied caller is told to wait: never too few.

        >>> 2 <= Verdict(Admission.DENIED, 2).pause(random.Random(1)) <= 2.6
        True
        """
        return round(self.wait * rng.uniform(*_RETURN_SPREAD), 3)


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
