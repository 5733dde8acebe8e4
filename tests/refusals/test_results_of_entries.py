"""Results of another entry count only for the request that they name."""

import asyncio
from collections.abc import Sequence
from typing import Final

import pytest

from tests.refusals.entries import Answered, ask, let_pass_to, open_entry
from tests.refusals.entries import Way as WayToUpstreams
from tests.refusals.upstream import OddUpstream, Step, head
from worksrail.core.results import ResultCode

_OWN: Final = 't1'
_NOT_RUN: Final = (
    ResultCode.UPSTREAM_SHED,
    ResultCode.ENTRY_LEAVING,
    ResultCode.MALFORMED_REQUEST,
)


def _result(code: ResultCode, trace: str) -> bytes:
    named = f'Worksrail-Trace: {trace}\r\n' if trace else ''
    extra = f'Worksrail-Result: {code.number}\r\nWorksrail-Sends: 1\r\n{named}'
    return head(code.http_status, extra=extra)


def _answer() -> bytes:
    extra = f'Worksrail-Result: {ResultCode.OK.number}\r\n'
    return head(200, _OWN, extra=extra, body=b'done')


def _play(*steps: Step, name: str = 'write') -> Answered:
    """Return what the caller gets if the other entry writes some steps."""

    async def run() -> Answered:
        def script(trace: str, _: int) -> tuple[bool, Sequence[Step]]:
            assert trace == _OWN
            return True, steps

        helper = await OddUpstream(script).open()
        first = open_entry(WayToUpstreams.DIRECT)[0]
        let_pass_to(first, helper.address)
        answer = await ask(first.open(), name, _OWN, deadline=1)
        first.server.stop()
        return answer

    return asyncio.run(run())


# The refusal of another request by another entry was taken for that of the
# request in progress.
@pytest.mark.parametrize('code', _NOT_RUN)
@pytest.mark.parametrize('trace', ['', 't0'])
def test_result_of_another_request_is_no_refusal(
    code: ResultCode, trace: str
) -> None:
    assert not _play(_result(code, trace)).promises


@pytest.mark.parametrize('code', _NOT_RUN)
@pytest.mark.parametrize('trace', ['', 't0'])
def test_answer_behind_the_result_of_another_request_arrives(
    code: ResultCode, trace: str
) -> None:
    answer = _play(_result(code, trace), 0.01, _answer())
    assert answer == Answered(200, b'done')


@pytest.mark.parametrize(
    ('code', 'status'),
    [
        (ResultCode.UPSTREAM_SHED, 503),
        (ResultCode.ENTRY_LEAVING, 503),
        (ResultCode.UPSTREAM_BROKE, 502),
        (ResultCode.UPSTREAM_TIMEOUT, 504),
        (ResultCode.ENTRY_STOPPED, 502),
    ],
)
def test_result_of_the_request_is_told(code: ResultCode, status: int) -> None:
    assert _play(_result(code, _OWN)).status == status
