"""Who gets the slots of a service that has fewer than are asked for.

Pure decisions, shared by all modes: measured demand by priority and customer,
the position that one request takes in it, and when refused callers come back.
"""

from worksrail.core.overload._advertised import AdvertisedDemand
from worksrail.core.overload._deadlines import RouteDeadlines
from worksrail.core.overload._demand import DemandTable
from worksrail.core.overload._own_share import OwnShare
from worksrail.core.overload._promises import (
    AdvertisedPromise,
    Promises,
    Return,
)
from worksrail.core.overload._retry_schedule import (
    NoCapacity,
    RetrySchedule,
    SlotForecast,
)
from worksrail.core.overload._shares import (
    CustomerDemand,
    DemandKey,
    SlotShares,
)
from worksrail.core.overload._slot_time import SlotTime
from worksrail.core.overload._usual_usage import UsualUsage

__all__ = (
    'AdvertisedDemand',
    'AdvertisedPromise',
    'CustomerDemand',
    'DemandKey',
    'DemandTable',
    'NoCapacity',
    'OwnShare',
    'Promises',
    'RetrySchedule',
    'Return',
    'RouteDeadlines',
    'SlotForecast',
    'SlotShares',
    'SlotTime',
    'UsualUsage',
)
