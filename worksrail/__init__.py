"""Worksrail: a global traffic steering system.

The coordination parts below can be embedded alone, with a custom transport:
pure state, events in, effects out.  Each is imported on first use, so that
unused modules take no memory in a process.
"""

from typing import TYPE_CHECKING, Final

from worksrail._lazy import loader_of

if TYPE_CHECKING:
    from worksrail.core.configuration import Configuration, HeadVerdict
    from worksrail.core.identity import Endpoints, Incarnation, Place
    from worksrail.core.membership import Membership
    from worksrail.core.permits import (
        Lending,
        NoPermit,
        PermitLedger,
        PoolSpec,
    )
    from worksrail.core.requests import KeyMemory, Ticket, TicketSigner
    from worksrail.core.results import Certainty, ResultCode
    from worksrail.core.settings import CoreSettings

_HOMES: Final = {
    'Certainty': 'worksrail.core.results',
    'Configuration': 'worksrail.core.configuration',
    'CoreSettings': 'worksrail.core.settings',
    'Endpoints': 'worksrail.core.identity',
    'HeadVerdict': 'worksrail.core.configuration',
    'Incarnation': 'worksrail.core.identity',
    'KeyMemory': 'worksrail.core.requests',
    'Lending': 'worksrail.core.permits',
    'Membership': 'worksrail.core.membership',
    'NoPermit': 'worksrail.core.permits',
    'PermitLedger': 'worksrail.core.permits',
    'Place': 'worksrail.core.identity',
    'PoolSpec': 'worksrail.core.permits',
    'ResultCode': 'worksrail.core.results',
    'Ticket': 'worksrail.core.requests',
    'TicketSigner': 'worksrail.core.requests',
}

__all__ = (
    'Certainty',
    'Configuration',
    'CoreSettings',
    'Endpoints',
    'HeadVerdict',
    'Incarnation',
    'KeyMemory',
    'Lending',
    'Membership',
    'NoPermit',
    'PermitLedger',
    'Place',
    'PoolSpec',
    'ResultCode',
    'Ticket',
    'TicketSigner',
)

__getattr__ = loader_of(__name__, _HOMES)
