"""Ending a request: its answer or refusal."""

from collections.abc import Iterator
from typing import Final

from worksrail.core._placing import retry_after
from worksrail.core._retrying import reported_code
from worksrail.core.effects import AnswerResult, Effect, Note, NoteKind
from worksrail.core.instance import Instance
from worksrail.core.limits import quota_name
from worksrail.core.requests.active import ActiveRequest
from worksrail.core.results import Certainty, ResultCode

_UNAVAILABLE: Final = 503


def finish(
    instance: Instance,
    active: ActiveRequest,
    code: ResultCode,
    now: float,
    wait: float = 0,
) -> Iterator[Effect]:
    """End a request and answer it with a result code.

    *Not run* is reported only if it holds for every attempt that was made.
    """
    code = reported_code(active, code)
    if active.maybe_executed and code.certainty is Certainty.NOT_RUN:
        code = ResultCode.UPSTREAM_BROKE
    executed = code.certainty is not Certainty.NOT_RUN
    if active.admitted and not executed:
        instance.limits.give_back(quota_name(active.customer))
    close(instance, active, executed=executed)
    yield from refuse(instance, active.number, active.service, code, now, wait)


def refuse(
    instance: Instance,
    number: int,
    service: str,
    code: ResultCode,
    now: float,
    wait: float = 0,
) -> Iterator[Effect]:
    """Answer a request with a refusal and a retry delay."""
    delay = wait
    entry = ''
    if code.http_status == _UNAVAILABLE and not wait:
        delay = retry_after(instance, service)
    if code in {ResultCode.ENTRY_LEAVING, ResultCode.NOT_READY}:
        entry = _other_entry(instance, now)
    yield Note(NoteKind.REQUEST_REFUSED, code.name, number)
    yield AnswerResult(number, code, delay, entry)


def drop(instance: Instance, active: ActiveRequest) -> Iterator[Effect]:
    """End a queued request whose caller has disconnected."""
    executed = active.maybe_executed
    if active.admitted and not executed:
        instance.limits.give_back(quota_name(active.customer))
    close(instance, active, executed=executed)
    yield AnswerResult(active.number, ResultCode.DEADLINE_EXPIRED)


def close(
    instance: Instance,
    active: ActiveRequest,
    *,
    executed: bool,
) -> None:
    """Remove a request, and settle its idempotency key if it claimed one."""
    instance.requests.pop(active.number, None)
    if active.claimed_key:
        instance.memory.finish(active.claimed_key, executed=executed)


def _other_entry(instance: Instance, now: float) -> str:
    near = instance.membership.accepting_work(
        now, instance.settings, instance.place.region
    )
    far = instance.membership.accepting_work(now, instance.settings)
    records = (*near, *far)
    return records[0].endpoints.caller if records else ''
