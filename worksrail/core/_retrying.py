"""Retry rules: the budget is charged in the step that sends the retry."""

from typing import Final

from worksrail.core.instance import Instance
from worksrail.core.requests import ArrivalPath
from worksrail.core.requests.active import ActiveRequest
from worksrail.core.results import ResultCode

MAYBE_SENT: Final = frozenset(
    (
        ResultCode.UPSTREAM_SHED,
        ResultCode.UPSTREAM_BROKE,
        ResultCode.UPSTREAM_TIMEOUT,
        ResultCode.UNVERIFIABLE_ANSWER,
        ResultCode.SPOILED_ANSWER,
        ResultCode.UNPROVEN_REFUSAL,
        ResultCode.PEER_BROKE,
    )
)
"""Results after which the request may have reached an upstream."""


def may_send(instance: Instance, active: ActiveRequest) -> bool:
    """Whether this is the first attempt or the budget allows a retry."""
    if active.failed_with is None:
        return True
    return instance.retry_budget(active.service).has_retry


def charge_budget(instance: Instance, active: ActiveRequest) -> None:
    """Charge the retry budget if this is a retry."""
    if active.failed_with is not None:
        instance.retry_budget(active.service).spend()
        active.failed_with = None


def is_earned_within(
    instance: Instance,
    active: ActiveRequest,
    max_wait: float,
    now: float,
) -> bool:
    """Whether the budget is expected to allow a retry within a maximum wait."""
    ahead = len(instance.service_state(active.service).retries)
    if active.caller_gone or ahead >= instance.settings.queue_limit:
        return False
    budget = instance.retry_budget(active.service)
    return budget.expected_wait(ahead, now) <= max_wait


def reported_code(active: ActiveRequest, code: ResultCode) -> ResultCode:
    """Result code reported to the instance that passed the request on.

    A later refusal must not hide that an upstream may have received the
    request: sending it again would be a retry that no budget is charged for.
    """
    shifted = active.head.passing is ArrivalPath.SHIFTED
    if not shifted or code in MAYBE_SENT or code is ResultCode.REQUEST_HELD:
        return code
    return active.failed_with or code
