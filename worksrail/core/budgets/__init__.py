"""Retry budgets that all instances share, enforced over the whole fleet.

Each instance advertises how many requests it received and how many retries it
has reserved, and reserves more only out of what the fleet's sum leaves.
"""

from worksrail.core.budgets._advertised import AdvertisedBudgets, BudgetUse
from worksrail.core.budgets._budget import (
    BudgetBounds,
    PeerView,
    SharedBudget,
)
from worksrail.core.budgets._peer_reports import PeerReports
from worksrail.core.budgets._report import (
    PROPAGATION_TIME,
    TRANSIT_TIME,
    PeerReport,
)
from worksrail.core.budgets._shared import FleetUse, SharedBudgets

__all__ = (
    'PROPAGATION_TIME',
    'TRANSIT_TIME',
    'AdvertisedBudgets',
    'BudgetBounds',
    'BudgetUse',
    'FleetUse',
    'PeerReport',
    'PeerReports',
    'PeerView',
    'SharedBudget',
    'SharedBudgets',
)
