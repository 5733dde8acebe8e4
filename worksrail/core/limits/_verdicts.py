"""Decisions on admissions, and the outputs of shared limits."""

import random
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from worksrail.core.limits._messages import LimitMessage

# Jitter of the delay after which denied callers should retry, as multiples of
# the time until the next token.  Otherwise all callers that an entry denies
# without asking the owner would retry in the same millisecond.
_RETRY_JITTER: Final = (1.0, 1.3)

Ticket = int
"""Identifies an admission that waits for the owner; chosen by the user of the
limits."""


@unique
class Admission(Enum):
    """Outcome of an admission request."""

    ADMITTED = 'it may go on'
    WAITING = 'the owner of the limit was asked'
    DENIED = 'the limit is reached'


@dataclass(frozen=True, slots=True)
class Verdict:
    """Decision on an admission request."""

    admission: Admission
    """The outcome."""

    wait: float = 0
    """Seconds after which a retry finds a token, if the request was denied."""

    def pause(self, rng: random.Random) -> float:
        """Return the delay for a denied caller: at least ``wait``, jittered.

        >>> 2 <= Verdict(Admission.DENIED, 2).pause(random.Random(1)) <= 2.6
        True
        """
        return round(self.wait * rng.uniform(*_RETRY_JITTER), 3)


@dataclass(frozen=True, slots=True)
class Settled:
    """The decision on an admission that waited for the owner."""

    ticket: Ticket
    """The admission."""

    verdict: Verdict
    """Admitted or denied."""


@dataclass(frozen=True, slots=True)
class Addressed:
    """A message to another entry."""

    peer: str
    """Address of the entry."""

    message: LimitMessage
    """The message."""


LimitOutput = Settled | Addressed

ADMITTED: Final = Verdict(Admission.ADMITTED)
WAITING: Final = Verdict(Admission.WAITING)
