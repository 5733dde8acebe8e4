"""The other entries: digests, look-ups, stops."""

import asyncio
import random
import socket
import zlib

import msgspec
import pytest

from tests.steering.world import (
    World,
    contact,
    digest,
    of_type,
    route,
    settings,
    upstream,
    zone_digest,
)
from worksrail.core.identity import Incarnation
from worksrail.core.results import ResultCode
from worksrail.core.steering import (
    Digest,
    EntryDigest,
    EntryList,
    RouteKind,
    SteeringState,
    look_up,
)
from worksrail.core.steering.effects import (
    AnswerResult,
    Decision,
    ExitProcess,
    SendDigest,
)
from worksrail.core.steering.events import DigestReceived, StopRequested
from worksrail.daemon.steered._digests import (
    DigestPort,
    pack_message,
    unpack_message,
)
from worksrail.daemon.steered._engine import SteeringEngine

_WRITE = route('write', kind=RouteKind.AT_MOST_ONCE)


def _named(world: World, region: str = 'a', zone: str = 'a1') -> set[str]:
    found = look_up(world.state, region, zone, world.now)
    return set(found.addresses) if isinstance(found, EntryList) else set()


def _hear(world: World, name: str, number: int = 1, **told: object) -> None:
    world.run(DigestReceived(world.now, digest(name, number, **told)))


@pytest.mark.parametrize(
    ('told', 'named'),
    [
        ({}, True),
        ({'ready': False}, False),
        ({'leaving': True}, False),
        ({'region': 'b', 'zone': 'b1'}, False),
    ],
)
def test_who_is_named(told: dict[str, object], named: bool) -> None:
    world = World()
    _hear(world, 'two', **told)
    assert ('10.9.0.3:two' in _named(world)) is named
    assert '10.9.0.1:1' in _named(world)


def test_other_regions_are_named_when_there_is_none_near() -> None:
    world = World()
    assert _named(world, 'b', 'b1') == {'10.9.0.1:1'}


def test_silent_entry_is_out_of_answers_soon() -> None:
    world = World()
    _hear(world, 'two')
    world.wait(1.2)
    assert '10.9.0.3:two' not in _named(world)
    _hear(world, 'two', 2)
    assert '10.9.0.3:two' in _named(world)


def test_own_stop_is_told_at_once_and_answered() -> None:
    world = World()
    _hear(world, 'two')
    effects = world.run(StopRequested(world.now))
    (sent,) = of_type(effects, SendDigest)
    assert isinstance(sent.digest, EntryDigest)
    assert sent.digest.sender.leaving
    assert _named(world) == {'10.9.0.3:two'}


def test_stop_without_others_answers_that_nobody_is_ready() -> None:
    world = World()
    world.run(StopRequested(world.now))
    found = look_up(world.state, 'a', 'a1', world.now)
    assert found is ResultCode.NOT_READY


def test_stop_waits_for_requests_and_for_cached_answers() -> None:
    world = World((_WRITE,), (upstream('1'),))
    number = world.ask('write')
    world.run(StopRequested(world.now))
    assert not of_type(world.wait(4), ExitProcess)
    world.end(number)
    assert of_type(world.wait(0.1), ExitProcess)


def test_stop_ends_within_the_grace_period() -> None:
    world = World((_WRITE,), (upstream('1'),))
    world.ask('write')
    world.run(StopRequested(world.now))
    assert of_type(world.wait(5.9), ExitProcess)


def test_request_that_crosses_the_exit_is_refused() -> None:
    # Found by the bench on tally-ja, seed in docs/FINDINGS.md: a request
    # that came after the decision to exit was sent on and then cut.
    world = World((), (upstream('1'),))
    world.run(StopRequested(world.now))
    assert of_type(world.wait(3.2), ExitProcess)
    number = world.ask()
    assert not world.sent(number)
    (answer,) = of_type(world.effects, AnswerResult)
    assert answer.code is ResultCode.ENTRY_LEAVING


def test_older_digest_changes_nothing() -> None:
    world = World()
    _hear(world, 'two', 5, in_flight={'1': 2})
    _hear(world, 'two', 4, in_flight={'1': 9})
    assert world.state.loads.of('1').others == 2


def test_restart_with_its_clock_set_back_is_heard() -> None:
    world = World()
    _hear(world, 'two', who=Incarnation('two', 99))
    world.wait(1.5)
    _hear(world, 'two', who=Incarnation('two', 1))
    assert '10.9.0.3:two' in _named(world)


def test_digests_go_to_seeds_and_silent_entries() -> None:
    world = World()
    _hear(world, 'two')
    receivers = {
        receiver
        for sent in of_type(world.wait(3), SendDigest)
        for receiver in sent.receivers
    }
    assert receivers == {'10.9.0.2:4', '10.9.0.2:two'}


def test_digest_fits_into_a_datagram() -> None:
    world = World()
    for number in range(500):
        world.state.loads.of(f'i-{number:010}').own = number + 1
    world.state.next_digest_at = 0
    sent = of_type(world.wait(0.05), SendDigest)[0]
    assert len(sent.digest.in_flight) == 60
    assert min(sent.digest.in_flight.values()) > 400


def test_pause_forgets_what_others_told() -> None:
    world = World()
    _hear(world, 'two', in_flight={'1': 2})
    world.now += 4
    world.wait(0.05)
    assert world.state.loads.of('1').others == 0


def _zone_of(entries: int, upstreams: int) -> Digest:
    members = [
        contact(
            f'front-north-{number}',
            peer=f'10.1.{number}.7:7660',
            caller=f'10.1.{number}.7:8144',
        )
        for number in range(entries)
    ]
    # Identifiers of upstreams are drawn, and hardly shrink.
    rng = random.Random(entries)
    in_flight = {
        f'i-{rng.randrange(16**10):010x}': rng.randrange(1, 9)
        for _ in range(upstreams)
    }
    return zone_digest('front-north-0', members, 1, in_flight)


@pytest.mark.parametrize(('entries', 'upstreams'), [(1, 0), (3, 30), (22, 400)])
def test_packed_digest_is_the_same_and_no_longer(
    entries: int, upstreams: int
) -> None:
    told = _zone_of(entries, upstreams)
    packed = pack_message(told)
    assert unpack_message(packed) == told
    assert len(packed) <= len(msgspec.msgpack.encode(told))


def test_digest_of_a_large_zone_takes_half_of_its_bytes() -> None:
    told = _zone_of(22, 180)
    assert len(pack_message(told)) < len(msgspec.msgpack.encode(told)) / 2


@pytest.mark.parametrize(
    'payload',
    [b'', b'x', b'xyz', b'\x00', zlib.compress(b'no digest'), b'{}'],
)
def test_datagram_that_is_no_digest(payload: bytes) -> None:
    with pytest.raises(ValueError, match=r'.'):
        unpack_message(payload)


def test_digests_cross_real_sockets() -> None:
    assert asyncio.run(_meet()) == [{'two'}, {'one'}]


async def _meet() -> list[set[str]]:
    engines = []
    ports = [_free_port(), _free_port()]
    for name, port in zip(('one', 'two'), ports, strict=True):
        state = SteeringState.from_settings(
            settings(name), Incarnation(name, 1), 0, 1
        )
        engine = SteeringEngine(state)
        udp = DigestPort(engine)
        await udp.open(f'127.0.0.1:{port}')
        engines.append((engine, udp))
    for (_, udp), other, name in zip(
        engines, reversed(ports), ('one', 'two'), strict=True
    ):
        udp.send(SendDigest((f'127.0.0.1:{other}',), digest(name)))
    for _ in range(200):
        await asyncio.sleep(0.01)
        if all(engine.state.fleet.entries for engine, _ in engines):
            break
    for _, udp in engines:
        udp.close()
    return [set(engine.state.fleet.entries) for engine, _ in engines]


def test_messages_that_come_densely_are_all_taken_after_a_pause() -> None:
    assert asyncio.run(_hear_many()) == {f'{number}' for number in range(200)}


async def _hear_many() -> set[str]:
    state = SteeringState.from_settings(settings(), Incarnation('one', 1), 0, 1)
    engine = SteeringEngine(state, {Decision: lambda _: None})
    udp = DigestPort(engine)
    port = _free_port()
    await udp.open(f'127.0.0.1:{port}')
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(200):
            payload = pack_message(digest(f'{number}'))
            sender.sendto(payload, ('127.0.0.1', port))
    udp.read()
    udp.read()
    # It waits for no message now, but looks again soon.
    assert udp.sock
    loop = asyncio.get_running_loop()
    assert not loop.remove_reader(udp.sock.fileno())
    for _ in range(200):
        await asyncio.sleep(0.01)
        if len(state.fleet.entries) == 200:
            break
    udp.close()
    return set(state.fleet.entries)


def _free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])
