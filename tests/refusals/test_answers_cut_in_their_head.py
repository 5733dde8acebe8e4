"""An answer that ends within its head is never whole, wherever it is cut."""

import asyncio
from math import inf

import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine

from tests.platform.upstream import RawUpstream, Reply
from worksrail.client import CallerClient, CallerSettings, NoAnswer
from worksrail.daemon import _clock
from worksrail.daemon.http._attempt import (
    AttemptEnd,
    AttemptReport,
    HttpAttempt,
    Outgoing,
)
from worksrail.daemon.http._body import BodyStream
from worksrail.daemon.http._collected import CollectedAnswer
from worksrail.daemon.http._connections import ConnectionPool

_COUNTED = 'Content-Length: 4\r\nWorksrail-Result: 1000\r\n\r\n'
_HEADS = {
    'counted': f'HTTP/1.1 200 OK\r\n{_COUNTED}',
    'chunked': 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    'until close': 'HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\n',
    'no content': 'HTTP/1.1 204 No\r\nX-Own: 1\r\n\r\n',
    'not modified': 'HTTP/1.1 304 No\r\nX-Own: 1\r\n\r\n',
    'after an interim one': f'HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\n{_COUNTED}',
    'line feeds': 'HTTP/1.1 200 OK\nContent-Length: 4\n\n',
}


async def _attempt(address: str, method: str) -> AttemptReport:
    outgoing = Outgoing(
        address,
        RequestStartLine(method, '/', 'HTTP/1.1'),
        HTTPHeaders({'Host': 'orders.example'}),
        inf,
        _clock.monotonic() + 5,
        takes_unframed=True,
    )
    pool = ConnectionPool(_clock.monotonic)
    attempt = HttpAttempt(
        pool,
        _clock.monotonic,
        outgoing,
        BodyStream(ended=True),
        CollectedAnswer(),
    )
    report = await attempt.run()
    pool.close()
    return report


# All answers, those of upstreams, entries and the store, are read by HttpAttempt.
@pytest.mark.parametrize('reset', [False, True], ids=['closed', 'reset'])
@pytest.mark.parametrize('method', ['GET', 'HEAD'])
@pytest.mark.parametrize('form', _HEADS)
def test_answer_cut_in_its_head_is_not_whole(
    form: str, method: str, reset: bool
) -> None:
    head = _HEADS[form].encode()

    async def run() -> list[int]:
        cuts = iter(range(len(head)))
        raw = await RawUpstream(
            lambda *_: Reply(head[: next(cuts)], close=not reset, reset=reset)
        ).open()
        whole = []
        for cut in range(len(head)):
            report = await _attempt(raw.address, method)
            if report.end is AttemptEnd.WHOLE:
                whole.append(cut)
        return whole

    assert asyncio.run(run()) == []


def test_client_takes_no_answer_that_is_cut_in_its_head() -> None:
    head = _HEADS['counted'].encode()
    look_up = (
        b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s'
    )

    async def run() -> list[int]:
        cuts = iter(range(len(head)))
        addresses: list[str] = []

        def script(number: int, _: str) -> Reply:
            asked = raw.heads[-1]
            if b'/.worksrail/look-up' in asked:
                document = (
                    b'{"entries": [{"address": "%s"}], "ticket": "t",'
                    b' "max_age": 60}' % addresses[0].encode()
                )
                return Reply(look_up % (len(document), document), close=True)
            return Reply(head[: next(cuts)], close=True)

        raw = await RawUpstream(script).open()
        addresses.append(raw.address)
        client = CallerClient(
            CallerSettings((raw.address,), attempts=1, deadline=3)
        )
        wrong = []
        for cut in range(len(head)):
            answer = await client.send('orders.example', 'GET', '/')
            if answer.code is not NoAnswer.UNKNOWN:
                wrong.append(cut)
        return wrong

    assert asyncio.run(run()) == []
