"""Who may be sent again: a retry is paid for in the step that sends it."""

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
        ResultCode.PEER_BROKE,
    )
)
"""Ends of a request that may have reached an upstream before."""


def may_go(instance: Instance, active: ActiveRequest) -> bool:
    """Whether it is sent for the first time, or the budget allows it."""
    if active.failed_with is None:
        return True
    return instance.retry_budget(active.service).has_retry


def pay(instance: Instance, active: ActiveRequest) -> None:
    """Let the budget pay if this is a retry."""
    if active.failed_with is not None:
        instance.retry_budget(active.service).spend()
        active.failed_with = None


def is_earned_within(
    instance: Instance,
    active: ActiveRequest,
    patience: float,
    now: float,
) -> bool:
    """Whether a retry is expected to be earned for it in time."""
    ahead = len(instance.service_state(active.service).retries)
    if active.caller_gone or ahead >= instance.settings.queue_limit:
        return False
    budget = instance.retry_budget(active.service)
    return budget.expected_wait(ahead, now) <= patience


def reported_code(active: ActiveRequest, code: ResultCode) -> ResultCode:
    """The end that whoever passed it on is told.

    That an upstream has had it must not be hidden by a later refusal: sending
    it once more would be a retry that nobody pays for.
    """
    shifted = active.head.passing is ArrivalPath.SHIFTED
    if not shifted or code in MAYBE_SENT or code is ResultCode.REQUEST_HELD:
        return code
    return active.failed_with or code
