"""Tests which arrivals have the same fingerprint."""

import asyncio
import random
from dataclasses import replace

import pytest

from tests.steering.world import World, customer, of_type, route, upstream
from worksrail.core.quarantine import fingerprint
from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.core.steering.events import AttemptOutcome, RequestArrived
from worksrail.daemon.http._body import REPLAY_LIMIT, BodyStream

_KEY = 'session-of-ana'
_BODY = b'digest of a body'

# What differs from the first arrival, and whether it is the same request.
_ARRIVALS = (
    ({}, True),
    ({'trace': 'another'}, True),
    ({'time_left': 0.5}, True),
    ({'target': '/read/y?y=1'}, False),
    ({'target': '/read/x?y=2'}, False),
    ({'method': 'HEAD'}, False),
    ({'key': 'session-of-luis'}, False),
)


def _fingerprint(world: World, body: bytes = _BODY, **head: object) -> int:
    number = world.ask(key=_KEY)
    first = world.state.requests[number].head
    world.requests += 1
    changed = replace(first, **{'trace': 'again', **head})
    world.run(RequestArrived(world.now, world.requests, changed, body))
    return world.state.requests[world.requests].fingerprint


@pytest.mark.parametrize(('changes', 'same'), _ARRIVALS)
def test_arrivals_with_the_same_path_caller_and_body_are_one_request(
    changes: dict[str, object],
    same: bool,
) -> None:
    world = World((route('read'),), (upstream('1'),))
    assert (_fingerprint(world) == _fingerprint(world, **changes)) is same


def test_another_body_makes_another_request() -> None:
    world = World((route('read'),), (upstream('1'),))
    assert _fingerprint(world) != _fingerprint(world, b'another')


@pytest.mark.parametrize(('secret', 'same'), [('one', True), ('two', False)])
def test_fingerprints_are_keyed_and_equal_at_all_entries(
    secret: str,
    same: bool,
) -> None:
    found = []
    for name, its_secret in (('one', 'one'), ('two', secret)):
        world = World((route('read'),), (upstream('1'),), name=name)
        world.state.settings = replace(
            world.state.settings, fingerprint_secret=its_secret
        )
        found.append(_fingerprint(world))
    assert (found[0] == found[1]) is same


def test_fingerprint_does_not_depend_on_store_address() -> None:
    one, other = (
        World((route('read'),), (upstream('1'),), name=name)
        for name in ('one', 'two')
    )
    other.state.settings = replace(other.state.settings, store='10.8.9.9:80')
    assert _fingerprint(one) == _fingerprint(other)


def test_parts_are_separated() -> None:
    one = fingerprint(b'', ('ab', 'c'), b'')
    assert one != fingerprint(b'', ('a', 'bc'), b'')


def test_crash_log_line_contains_only_the_fingerprint() -> None:
    public = customer('ana', 'a-key')
    world = World((route('read'),), (upstream('1'),), customers=(public,))
    number = world.ask(key=_KEY, key_digest=public.keys[0])
    name = f'{world.state.requests[number].fingerprint:016x}'
    world.end(number, AttemptOutcome.BROKE_BEFORE_ANSWER)
    (line,) = (
        one
        for one in of_type(world.effects, Decision)
        if one.kind is DecisionKind.CRASH_SUSPECTED
    )
    assert line.subject == name
    told = str(line)
    assert not [
        text
        for text in (_KEY, 'a-key', public.keys[0], '/read/x')
        if text in told
    ]


# Two bodies with their declared lengths, and whether their digests are equal.
_LONG = REPLAY_LIMIT + 10
_BODIES = (
    ((b'', ''), (b'', ''), True),
    ((b'abc', '3'), (b'abc', '3'), True),
    ((b'abc', '3'), (b'abc', ''), True),
    ((b'abc', '3'), (b'abd', '3'), False),
    ((b'a' * _LONG, str(_LONG)), (b'a' * _LONG, str(_LONG)), True),
    ((b'a' * _LONG, ''), (b'a' * _LONG, ''), True),
    ((b'a' * _LONG, ''), (b'a' * _LONG, str(_LONG)), False),
    ((b'a' * _LONG, ''), (b'b' + b'a' * _LONG, ''), False),
    (
        (b'a' * _LONG, str(_LONG)),
        (b'a' * (_LONG + 1), str(_LONG + 1)),
        False,
    ),
)


def _digest(body: bytes, declared: str, seed: int) -> bytes:
    """Return the digest of a body that is fed in chunks of random sizes."""

    async def feed() -> bytes:
        rng = random.Random(seed)
        stream = BodyStream()
        left = body
        while left:
            size = rng.randint(1, 30_000)
            chunk, left = left[:size], left[size:]
            stream.record_prefix(chunk)
            if stream.size + len(chunk) > REPLAY_LIMIT:
                return stream.digest(declared)
            await stream.feed(chunk)
        stream.end()
        return stream.digest(declared)

    return asyncio.run(feed())


@pytest.mark.parametrize(('one', 'other', 'same'), _BODIES)
@pytest.mark.parametrize('seed', [1, 2])
def test_body_digests_are_equal_whole_and_streamed(
    one: tuple[bytes, str],
    other: tuple[bytes, str],
    same: bool,
    seed: int,
) -> None:
    digests = _digest(*one, seed=0), _digest(*other, seed=seed)
    assert (digests[0] == digests[1]) is same
