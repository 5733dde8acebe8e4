"""Whatever an upstream puts on a connection, no refusal is untrue.

Upstreams are true in one thing only: a failure that states it and names the
request means that it was not executed.
"""

import asyncio
import re
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.refusals.entries import Answered, Way, ask, open_entry
from tests.refusals.upstream import Break, OddUpstream, Step, head, success

_PROMISES = (408, 421, 429, 503)
_FAILURES = (400, *_PROMISES, 500, 502, 504)
_DEADLINE_S = 0.5
_ROUTES = {'write': False, 'read': True, 'load': True}


@dataclass(frozen=True, slots=True)
class Message:
    """An answer that may belong to another request, or to none."""

    status: int
    """HTTP status."""

    named: str
    """``this``, ``last``, ``other`` or ``none``."""

    stated: bool
    """Whether it states that the request was not executed."""

    cut: float
    """Part of its bytes that is written."""

    copies: int
    """How often it is written."""

    pause: float
    """Seconds before it."""

    def is_refusal(self) -> bool:
        """Return whether it proves that the request was not executed."""
        return self.named == 'this' and self.stated and self.status >= 400

    def render(self, trace: str, last: str) -> bytes:
        """Return its bytes."""
        names = {'this': trace, 'last': last, 'other': 'other', 'none': ''}
        named = names[self.named]
        if self.status == 200:
            body = named.encode()
            whole = success(named, body)
            if self.stated:
                whole = head(200, named, stated=True, body=body)
        else:
            whole = head(self.status, named, stated=self.stated)
        kept = whole[: round(self.cut * len(whole))]
        return kept * self.copies


_MESSAGES = st.builds(
    Message,
    status=st.sampled_from((200, *_FAILURES)),
    named=st.sampled_from(('this', 'this', 'this', 'last', 'other', 'none')),
    stated=st.booleans(),
    cut=st.one_of(st.just(1.0), st.just(1.0), st.floats(0, 1)),
    copies=st.sampled_from((1, 1, 1, 2)),
    pause=st.sampled_from((0, 0, 0.005, 0.02)),
)


@dataclass(frozen=True, slots=True)
class Reaction:
    """What an upstream does with one request."""

    messages: tuple[Message, ...]
    """What it writes, in order."""

    end: Break | None
    """How the connection ends behind it."""

    def executes(self) -> bool:
        """Return whether the request is executed: unless one says not so."""
        return not any(one.is_refusal() for one in self.messages)

    def steps(self, trace: str, last: str) -> list[Step]:
        """Return what is written, with pauses and the end."""
        steps: list[Step] = []
        for message in self.messages:
            steps += [message.pause, message.render(trace, last)]
        return steps if self.end is None else [*steps, self.end]


_REACTIONS = st.builds(
    Reaction,
    messages=st.lists(_MESSAGES, min_size=0, max_size=3).map(tuple),
    end=st.sampled_from((None, None, Break.CLOSE, Break.RESET)),
)


@dataclass(slots=True)
class _Played:
    answers: dict[str, Answered]
    runs: Counter[str]


async def _play(
    way: Way,
    reactions: Sequence[Reaction],
    requests: Sequence[str],
    greeting: Message | None,
) -> _Played:
    left = list(reactions)
    last = ['first']

    def script(trace: str, _: int) -> tuple[bool, Sequence[Step]]:
        reaction = left.pop(0) if left else Reaction((), Break.CLOSE)
        steps = reaction.steps(trace, last[0])
        last[0] = trace
        return reaction.executes(), steps

    early = greeting.render('', 'other') if greeting else b''
    upstreams = [
        await OddUpstream(script, greeting=early).open() for _ in range(2)
    ]
    first = open_entry(way, *upstreams)[0]
    port = first.open()
    answers = {}
    for number, route in enumerate(requests):
        trace = f'{route}-{number}'
        answers[trace] = await ask(port, route, trace, deadline=_DEADLINE_S)
    first.server.stop()
    return _Played(answers, upstreams[0].runs + upstreams[1].runs)


@pytest.mark.parametrize('way', Way)
@given(
    reactions=st.lists(_REACTIONS, min_size=1, max_size=8),
    requests=st.lists(st.sampled_from(list(_ROUTES)), min_size=1, max_size=4),
    greeting=st.one_of(st.none(), st.none(), _MESSAGES),
)
def test_no_refusal_is_untrue_and_nothing_runs_twice(
    way: Way,
    reactions: list[Reaction],
    requests: list[str],
    greeting: Message | None,
) -> None:
    played = asyncio.run(_play(way, reactions, requests, greeting))
    for trace, answer in played.answers.items():
        runs = played.runs[trace]
        repeatable = _ROUTES[re.split('-', trace)[0]]
        assert repeatable or runs <= 1
        assert repeatable or not (answer.promises and runs)
        assert answer.status != 200 or answer.body == trace.encode()
