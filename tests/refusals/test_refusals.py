"""What counts as not executed, from the upstream's and the caller's side."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import pytest

from tests.refusals.entries import Answered, Way, ask, open_entry
from tests.refusals.upstream import OddUpstream, Step, head, success

_UNSAFE = 'write'
_SAFE = 'read'
_PAIRS = 8
_DELAY_S = 0.01

_ANOTHER = 'another'


def _stray(
    status: int, named: str, *, stated: bool
) -> Callable[[str], Sequence[Step]]:
    stray = head(status, named, stated=stated)
    return lambda trace: (stray, _DELAY_S, success(trace))


def _false(status: int, *, stated: bool) -> Callable[[str], Sequence[Step]]:
    return lambda trace: (head(status, trace, stated=stated),)


# What an upstream that executes a request writes: an answer to no request or
# to another one before its answer, or a refusal that it does not mean.
_STRAYS = {
    f'stated {status} to no request': _stray(status, '', stated=True)
    for status in (400, 408, 421, 429, 503)
}
_STRAYS |= {
    f'unstated {status} to no request': _stray(status, '', stated=False)
    for status in (408, 421, 429, 503)
}
_STRAYS |= {
    f'stated {status} to another request': _stray(status, _ANOTHER, stated=True)
    for status in (421, 503)
}
_FORMS = _STRAYS | {
    f'unstated {status}': _false(status, stated=False)
    for status in (408, 421, 429, 503)
}
_FORMS['stated 200'] = _false(200, stated=True)


@dataclass(slots=True)
class _Seen:
    unsafe: list[Answered]
    safe: list[Answered]
    runs: Counter[str]


async def _play(form: Callable[[str], Sequence[Step]], way: Way) -> _Seen:
    def script(trace: str, _: int) -> tuple[bool, Sequence[Step]]:
        if trace.startswith(_SAFE):
            return True, (success(trace),)
        return True, form(trace)

    upstreams = [await OddUpstream(script).open() for _ in range(2)]
    first = open_entry(way, *upstreams)[0]
    port = first.open()
    seen = _Seen([], [], Counter())
    for number in range(_PAIRS):
        seen.unsafe.append(await ask(port, _UNSAFE, f'{_UNSAFE}-{number}'))
        seen.safe.append(await ask(port, _SAFE, f'{_SAFE}-{number}'))
    first.server.stop()
    for upstream in upstreams:
        seen.runs.update(upstream.runs)
    return seen


# A request was answered 503 after an upstream had executed it, and executed
# once more by another upstream.
@pytest.mark.parametrize('way', Way)
@pytest.mark.parametrize('form', _FORMS)
def test_request_that_was_executed_is_not_refused(form: str, way: Way) -> None:
    seen = asyncio.run(_play(_FORMS[form], way))
    twice = [trace for trace, count in seen.runs.items() if count > 1]
    assert not [trace for trace in twice if trace.startswith(_UNSAFE)]
    assert not [answer for answer in seen.unsafe if answer.promises]


# One odd answer took its upstream out, so that requests beside it were refused.
@pytest.mark.parametrize('way', Way)
@pytest.mark.parametrize('form', _FORMS)
def test_requests_beside_odd_answers_are_served(form: str, way: Way) -> None:
    seen = asyncio.run(_play(_FORMS[form], way))
    assert [answer.status for answer in seen.safe] == [200] * _PAIRS


# An answer that belongs to no request cost the request that it came before.
@pytest.mark.parametrize('way', Way)
@pytest.mark.parametrize('form', _STRAYS)
def test_answer_behind_one_to_no_request_arrives(form: str, way: Way) -> None:
    seen = asyncio.run(_play(_STRAYS[form], way))
    assert seen.unsafe == [Answered(200, b'done')] * _PAIRS


@pytest.mark.parametrize('way', Way)
@pytest.mark.parametrize('name', [_SAFE, _UNSAFE])
@pytest.mark.parametrize('status', [400, 429, 503])
def test_stated_refusal_leads_to_another_upstream(
    status: int, name: str, way: Way
) -> None:
    async def run() -> tuple[Answered, Counter[str]]:
        def script(trace: str, _: int) -> tuple[bool, Sequence[Step]]:
            if not refused:
                refused.append(trace)
                return False, (head(status, trace, stated=True),)
            return True, (success(trace),)

        refused: list[str] = []
        upstreams = [await OddUpstream(script).open() for _ in range(2)]
        first = open_entry(way, *upstreams)[0]
        answer = await ask(first.open(), name, 't1')
        first.server.stop()
        return answer, upstreams[0].runs + upstreams[1].runs

    answer, runs = asyncio.run(run())
    assert answer == Answered(200, b'done')
    assert runs == {'t1': 1}


@pytest.mark.parametrize('way', Way)
def test_stated_refusals_of_all_upstreams_are_told_as_such(way: Way) -> None:
    async def run() -> tuple[Answered, int]:
        upstreams = [
            await OddUpstream(
                lambda trace, _: (False, (head(503, trace, stated=True),))
            ).open()
            for _ in range(2)
        ]
        first = open_entry(way, *upstreams)[0]
        answer = await ask(first.open(), _UNSAFE, 't1')
        first.server.stop()
        return answer, sum(upstreams[0].runs.values())

    answer, runs = asyncio.run(run())
    assert answer.status == 503
    assert not runs


# The entry shortened an identifier, so that no answer was taken for its own.
@pytest.mark.parametrize('way', Way)
@pytest.mark.parametrize('length', [128, 129, 2000])
def test_request_with_a_long_identifier_is_answered(
    length: int, way: Way
) -> None:
    async def run() -> Answered:
        upstream = await OddUpstream(
            lambda trace, _: (True, (success(trace),))
        ).open()
        first = open_entry(way, upstream)[0]
        answer = await ask(first.open(), _UNSAFE, 'x' * length)
        first.server.stop()
        return answer

    assert asyncio.run(run()) == Answered(200, b'done')
