"""Requests: tickets, the memory of idempotency keys, queue, retry budget."""

from worksrail.core.requests._budget import RetryBudget
from worksrail.core.requests._head import ArrivalPath, NoTicket, RequestHead
from worksrail.core.requests._memory import KeyMemory, KeyState
from worksrail.core.requests._queue import QueuedRequest, RequestQueue
from worksrail.core.requests._tickets import (
    Ticket,
    TicketFault,
    TicketSigner,
)

__all__ = (
    'ArrivalPath',
    'KeyMemory',
    'KeyState',
    'NoTicket',
    'QueuedRequest',
    'RequestHead',
    'RequestQueue',
    'RetryBudget',
    'Ticket',
    'TicketFault',
    'TicketSigner',
)
