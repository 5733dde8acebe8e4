"""Compares ways to keep a customer's quota over all entries, virtual clock.

``python -m worksrail.bench.limits`` plays the same callers and faults on each
way at several sizes of the fleet and prints one table.
"""

from worksrail.bench.limits._plan import (
    Asking,
    Fault,
    FaultKind,
    Plan,
    mixed_customers,
)
from worksrail.bench.limits._play import Outcome, play
from worksrail.bench.limits._ways import WAYS

__all__ = (
    'WAYS',
    'Asking',
    'Fault',
    'FaultKind',
    'Outcome',
    'Plan',
    'mixed_customers',
    'play',
)
