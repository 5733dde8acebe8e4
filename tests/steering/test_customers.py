"""Customers: keys, regions, priorities, quotas, and changes of them."""

from typing import Any

import msgspec
import pytest

from tests.steering.world import (
    World,
    configuration,
    contact,
    customer,
    of_type,
    route,
    upstream,
)
from worksrail.core.customers import Customer, Quota, digest_of_key
from worksrail.core.limits import (
    Addressed,
    LimitReply,
    LimitStatus,
    QuotaBounds,
    quota_limit,
)
from worksrail.core.results import ResultCode
from worksrail.core.steering import (
    EntryDigest,
    StoreUpdate,
    store_update_since,
)
from worksrail.core.steering.effects import (
    AnswerResult,
    Decision,
    SendLimitMessage,
    SendUpstream,
)
from worksrail.core.steering.events import (
    AttemptOutcome,
    CallerGone,
    ConfigurationRead,
    DigestReceived,
    LimitMessageReceived,
    StoreLost,
)
from worksrail.core.steering.kinds import StoreKind

_UPSTREAMS = (upstream('1'), upstream('2', zone='b1'))
_ROUTES = (
    route('read'),
    route('open', public=True),
    route('home', regions=frozenset('b')),
)
_CUSTOMERS = (
    customer('acme', 'old', 'new', priority=0),
    customer('here', 'h', regions=frozenset('a')),
    customer('there', 't', regions=frozenset('b')),
    customer('small', 's', quota=Quota(2, 3)),
)


def _world(*customers: Customer, **options: Any) -> World:
    chosen = customers or _CUSTOMERS
    return World(_ROUTES, _UPSTREAMS, customers=chosen, **options)


def _ask(world: World, name: str, key: str) -> int:
    digest = digest_of_key(key.encode()) if key else ''
    return world.ask(name, key_digest=digest)


def _answers(world: World, number: int) -> list[ResultCode]:
    return [
        effect.code
        for effect in of_type(world.effects, AnswerResult)
        if effect.request == number
    ]


def _customers_of(world: World, number: int) -> list[str]:
    return [
        effect.customer
        for effect in of_type(world.effects, SendUpstream)
        if effect.request == number
    ]


@pytest.mark.parametrize(
    ('name', 'key', 'expected'),
    [
        ('read', 'old', 'acme'),
        ('read', 'new', 'acme'),
        ('open', '', ''),
        ('open', 'wrong', ''),
        ('open', 'old', 'acme'),
    ],
)
def test_request_carries_the_name_of_its_customer(
    name: str, key: str, expected: str
) -> None:
    world = _world()
    number = _ask(world, name, key)
    assert _customers_of(world, number) == [expected]


@pytest.mark.parametrize(
    ('name', 'key', 'code'),
    [
        ('read', '', ResultCode.UNKNOWN_KEY),
        ('read', 'wrong', ResultCode.UNKNOWN_KEY),
        ('home', 'h', ResultCode.NO_COMMON_REGION),
    ],
)
def test_request_that_must_not_be_served_is_refused(
    name: str, key: str, code: ResultCode
) -> None:
    world = _world()
    # The entry reads the store and is up to date.
    world.state.watching = True
    number = _ask(world, name, key)
    assert _answers(world, number) == [code]
    assert not _customers_of(world, number)
    assert not world.state.requests


def test_without_customers_no_key_is_needed() -> None:
    world = World(_ROUTES, _UPSTREAMS)
    assert _customers_of(world, _ask(world, 'read', '')) == ['']


@pytest.mark.parametrize(
    ('name', 'key', 'expected'),
    [('read', 'h', '1'), ('read', 't', '2'), ('home', 'old', '2')],
)
def test_request_stays_within_regions_of_customer_and_route(
    name: str, key: str, expected: str
) -> None:
    world = _world()
    for _ in range(8):
        number = _ask(world, name, key)
        assert world.sent(number) == [expected]
        world.end(number)


def test_key_has_its_home_in_the_regions_of_its_customer() -> None:
    # Without such a home it would be cold at a different upstream each time.
    upstreams = [
        upstream(str(number), zone='b1' if number < 4 else 'a1')
        for number in range(24)
    ]
    world = World(_ROUTES, upstreams, customers=_CUSTOMERS)
    for key in ('k1', 'k2', 'k3', 'k4', 'k5', 'k6'):
        digest = digest_of_key(b't')
        places = set()
        for _ in range(6):
            number = world.ask('read', key, key_digest=digest)
            places.update(world.sent(number))
            world.end(number)
        assert len(places) == 1


def test_priority_of_a_customer_overrides_that_of_the_route() -> None:
    world = _world()
    numbers = [_ask(world, 'read', key) for key in ('old', 'h')]
    priorities = [world.state.requests[number].priority for number in numbers]
    assert priorities == [0, 1]


# -- changes of the configuration


def test_revoked_key_is_refused_at_once() -> None:
    world = _world()
    assert _customers_of(world, _ask(world, 'read', 'old'))
    changed = configuration(2, _ROUTES, 0, [customer('acme', 'new')])
    world.run(ConfigurationRead(world.now, changed, 2))
    world.state.watching = True
    refused = _ask(world, 'read', 'old')
    assert _answers(world, refused) == [ResultCode.UNKNOWN_KEY]
    assert _customers_of(world, _ask(world, 'read', 'new')) == ['acme']


def test_older_version_does_not_restore_a_revoked_key() -> None:
    world = _world()
    without = configuration(3, _ROUTES, 0, [customer('acme', 'new')])
    world.run(ConfigurationRead(world.now, without, 3))
    older = configuration(2, _ROUTES, 0, _CUSTOMERS)
    world.run(ConfigurationRead(world.now, older, 4))
    world.state.watching = True
    refused = _ask(world, 'read', 'old')
    assert _answers(world, refused) == [ResultCode.UNKNOWN_KEY]


def _lose_the_store(world: World) -> None:
    world.state.watching = True
    world.run(StoreLost(world.now, StoreKind.CONFIGURATION, 'silent'))


def _receive_digest(world: World, **changes: Any) -> None:
    sender = contact('two', **changes)
    world.run(DigestReceived(world.now, EntryDigest(sender, 1, {}, ())))


def _fall_behind(world: World) -> None:
    _receive_digest(world, revisions=(9, 9, 9))
    world.wait(0.2)


def _lose_the_store_at_both(world: World) -> None:
    _lose_the_store(world)
    _receive_digest(world, store_lost=True)


@pytest.mark.parametrize(
    'happens', [_lose_the_store, _fall_behind, _lose_the_store_at_both]
)
def test_entry_that_may_be_stale_refuses_no_key_as_unknown(
    happens: Any,
) -> None:
    world = _world()
    happens(world)
    number = _ask(world, 'read', 'added-just-now')
    (answer,) = [
        effect
        for effect in of_type(world.effects, AnswerResult)
        if effect.request == number
    ]
    assert answer.code is ResultCode.KEY_UNCERTAIN
    assert answer.retry_after > 0
    # A request without any key is refused as such in any case.
    none = _ask(world, 'read', '')
    assert _answers(world, none) == [ResultCode.UNKNOWN_KEY]


def test_entry_in_contact_with_one_that_reads_the_store_is_current() -> None:
    world = _world()
    _lose_the_store(world)
    _receive_digest(world)
    number = _ask(world, 'read', 'wrong')
    assert _answers(world, number) == [ResultCode.UNKNOWN_KEY]


def test_new_entry_refuses_no_key_as_unknown() -> None:
    world = _world(settle=0.1)
    number = _ask(world, 'read', 'wrong')
    assert _answers(world, number) == [ResultCode.KEY_UNCERTAIN]


def test_customers_survive_encoding_for_other_entries() -> None:
    world = _world()
    update = store_update_since(
        world.state, StoreKind.CONFIGURATION, 0, world.now
    )
    payload = msgspec.msgpack.encode(update)
    assert msgspec.msgpack.decode(payload, type=StoreUpdate) == update


def test_decisions_reveal_no_key() -> None:
    world = _world()
    for key in ('old', 'wrong', 's', 's', 's', 's', 's', 's'):
        _ask(world, 'read', key)
    text = repr(of_type(world.effects, Decision))
    for key in ('old', 'new', 'wrong'):
        assert digest_of_key(key.encode()) not in text


# -- quotas


def test_refusal_by_quota_gives_the_time_of_the_next_token() -> None:
    world = _world(settle=3)
    numbers = [_ask(world, 'read', 's') for _ in range(6)]
    refused = [
        effect
        for effect in of_type(world.effects, AnswerResult)
        if effect.code is ResultCode.QUOTA_REACHED
    ]
    assert [effect.request for effect in refused] == numbers[3:]
    assert all(0.4 < effect.retry_after < 2.1 for effect in refused)
    assert refused[0].retry_after < refused[-1].retry_after
    world.wait(0.6)
    assert _customers_of(world, _ask(world, 'read', 's')) == ['small']


def test_quota_does_not_affect_other_customers() -> None:
    world = _world()
    for _ in range(6):
        _ask(world, 'read', 's')
    assert not world.state.limits.accounts.get('quota here')
    assert _customers_of(world, _ask(world, 'read', 'h')) == ['here']


def test_request_that_was_not_executed_does_not_use_the_quota() -> None:
    world = _world(customer('small', 's', quota=Quota(1, 2)), settle=3)
    for _ in range(5):
        number = _ask(world, 'read', 's')
        while number in world.state.requests:
            world.end(number, AttemptOutcome.NOT_EXECUTED)
    assert _customers_of(world, _ask(world, 'read', 's')) == ['small']


def test_lowered_quota_applies_at_once() -> None:
    world = _world(customer('small', 's', quota=Quota(100, 100)))
    assert _customers_of(world, _ask(world, 'read', 's'))
    lower = [customer('small', 's', quota=Quota(1, 1))]
    changed = configuration(2, _ROUTES, 0, lower)
    world.run(ConfigurationRead(world.now, changed, 2))
    numbers = [_ask(world, 'read', 's') for _ in range(4)]
    served = [number for number in numbers if _customers_of(world, number)]
    assert len(served) == 1


@pytest.mark.parametrize(
    ('overage', 'slack', 'capacity'),
    [(0, 0, 10), (0.1, 20, 10 + 0.2 * (0.1 * 60 + 20)), (0.5, 0, 16)],
)
def test_limit_includes_a_part_of_the_tolerated_overage(
    overage: float, slack: float, capacity: float
) -> None:
    bounds = QuotaBounds(5, overage, slack)
    limit = quota_limit(Quota(10, 10), bounds)
    assert (limit.rate, limit.capacity) == (10, pytest.approx(capacity))


def _awaiting_admission() -> tuple[World, int, int]:
    """Create a request that waits for the owner of its quota, a peer."""
    names = iter(f'c{number}' for number in range(100))
    for name in names:
        world = _world(customer(name, 'k', quota=Quota(5, 5)))
        _receive_digest(world)
        world.wait(0.2)
        if world.state.limits.owners.owner_of(f'quota {name}') == 'two':
            break
    reply = LimitReply(0, {f'quota {name}': LimitStatus(0, False, 0)})
    world.run(LimitMessageReceived(world.now, reply))
    number = _ask(world, 'read', 'k')
    (sent,) = of_type(world.effects, SendLimitMessage)
    assert sent.receiver == '10.9.0.2:two'
    return world, number, sent.message.number  # type: ignore[union-attr]


@pytest.mark.parametrize('granted', [0, 1])
def test_request_waits_for_the_owner_of_its_quota(granted: int) -> None:
    world, number, report = _awaiting_admission()
    assert not _customers_of(world, number)
    name = world.state.requests[number].customer_name
    standing = LimitStatus(granted, False, 0.5)
    reply = LimitReply(report, {f'quota {name}': standing})
    world.run(LimitMessageReceived(world.now, reply))
    assert _customers_of(world, number) == [name] * granted
    refused = [ResultCode.QUOTA_REACHED] * (1 - granted)
    assert _answers(world, number) == refused


def test_caller_disconnects_while_the_owner_of_its_quota_is_asked() -> None:
    world, number, report = _awaiting_admission()
    name = world.state.requests[number].customer_name
    world.run(CallerGone(world.now, number))
    standing = LimitStatus(1, False, 0)
    reply = LimitReply(report, {f'quota {name}': standing})
    world.run(LimitMessageReceived(world.now, reply))
    assert not _customers_of(world, number)
    assert not world.state.requests
    # The request is answered once, and its token is returned.
    assert len(_answers(world, number)) == 1
    assert world.state.limits.accounts[f'quota {name}'].used == -1


# Outcome of an attempt whose caller has left, and what its quota has back.
@pytest.mark.parametrize(
    ('outcome', 'given_back'),
    [
        (AttemptOutcome.NOT_CONNECTED, 1),
        (AttemptOutcome.NOT_EXECUTED, 1),
        (AttemptOutcome.CANCELLED, 0),
        (AttemptOutcome.BROKE_BEFORE_ANSWER, 0),
    ],
)
def test_quota_has_back_what_was_not_executed_for_a_caller_that_left(
    outcome: AttemptOutcome, given_back: int
) -> None:
    world, number, report = _awaiting_admission()
    name = world.state.requests[number].customer_name
    standing = LimitStatus(1, False, 0)
    reply = LimitReply(report, {f'quota {name}': standing})
    world.run(LimitMessageReceived(world.now, reply))
    world.run(CallerGone(world.now, number))
    world.end(number, outcome)
    assert not world.state.requests
    assert world.state.limits.accounts[f'quota {name}'].used == -given_back


def test_no_limit_messages_are_sent_without_limits() -> None:
    world = World(_ROUTES, _UPSTREAMS)
    _receive_digest(world)
    _ask(world, 'read', '')
    world.wait(1)
    assert not of_type(world.effects, SendLimitMessage)
    assert not [
        one
        for one in world.state.limits.take_outputs()
        if isinstance(one, Addressed)
    ]
