"""Permits: limited rights to send work, shared and lent between instances."""

from worksrail.core.permits._holdings import Group, Hold, NoPermit, Pool
from worksrail.core.permits._ledger import PermitLedger
from worksrail.core.permits._lending import Lender, Lending, LoanMessage
from worksrail.core.permits._loans import LoanId
from worksrail.core.permits._pool import (
    GroupKey,
    PoolKey,
    PoolKind,
    PoolSpec,
    cap_group,
    cap_pool,
    seat_share,
    slot_group,
    slot_pool,
)
from worksrail.core.permits._seat_table import (
    SeatRecord,
    SeatTable,
    decode_seats,
    encode_seats,
)
from worksrail.core.permits._seats import SeatContext, SeatManager

__all__ = (
    'Group',
    'GroupKey',
    'Hold',
    'Lender',
    'Lending',
    'LoanId',
    'LoanMessage',
    'NoPermit',
    'PermitLedger',
    'Pool',
    'PoolKey',
    'PoolKind',
    'PoolSpec',
    'SeatContext',
    'SeatManager',
    'SeatRecord',
    'SeatTable',
    'cap_group',
    'cap_pool',
    'decode_seats',
    'encode_seats',
    'seat_share',
    'slot_group',
    'slot_pool',
)
