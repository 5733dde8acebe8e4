"""Membership of instances, by gossiped heartbeats with incarnations."""

from worksrail.core._rendezvous import (
    rendezvous,
    rendezvous_weight,
)
from worksrail.core.membership._members import (
    ListedInstance,
    Liveness,
    Member,
    Membership,
)

__all__ = (
    'ListedInstance',
    'Liveness',
    'Member',
    'Membership',
    'rendezvous',
    'rendezvous_weight',
)
