"""Budgets of repeats that all instances share, summed up over the fleet.

Each instance tells the others how many requests came to it and how many
repeats it has reserved; each reserves more only out of what the sum leaves.
"""

from worksrail.core.budgets._accounts import (
    NEWS_TIME,
    TRAVEL_TIME,
    Account,
    Accounts,
)
from worksrail.core.budgets._advertised import AdvertisedBudgets, BudgetUse
from worksrail.core.budgets._budget import (
    BudgetBounds,
    Others,
    SharedBudget,
)
from worksrail.core.budgets._shared import FleetUse, SharedBudgets

__all__ = (
    'NEWS_TIME',
    'TRAVEL_TIME',
    'Account',
    'Accounts',
    'AdvertisedBudgets',
    'BudgetBounds',
    'BudgetUse',
    'FleetUse',
    'Others',
    'SharedBudget',
    'SharedBudgets',
)
