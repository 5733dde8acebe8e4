"""A late refusal of an earlier send of the same request."""

import asyncio
from collections.abc import Sequence

import pytest

from tests.refusals.entries import Answered, Way, ask, open_entry
from tests.refusals.upstream import OddUpstream, Step, head, success


# A request that was refused came back under the same identifier on the same
# connection, ran, and met the late copy of its first refusal.
@pytest.mark.parametrize('way', Way)
def test_late_refusal_of_an_earlier_send_is_not_taken(way: Way) -> None:
    async def run() -> tuple[list[Answered], int]:
        def script(trace: str, number: int) -> tuple[bool, Sequence[Step]]:
            refusal = head(503, trace, stated=True)
            if not arrivals:
                arrivals.append(trace)
                return False, (refusal,)
            late = refusal if number else b''
            return True, (late, 0.01, success(trace))

        arrivals: list[str] = []
        upstream = await OddUpstream(script).open()
        first = open_entry(way, upstream)[0]
        port = first.open()
        answers = [await ask(port, 'write', 't1') for _ in range(2)]
        first.server.stop()
        return answers, upstream.runs['t1']

    (refused, answered), runs = asyncio.run(run())
    assert refused.status == 503
    assert runs == 1
    assert not answered.promises
