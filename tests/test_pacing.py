"""Tests of limits that upstreams name, and of their tokens, without a world."""

from math import inf

import pytest

from worksrail.core.limits import Members
from worksrail.core.pacing import (
    ALL_REGIONS,
    AdvertisedLimit,
    NamedLimit,
    NamedLimits,
    NoRate,
    Pacer,
    Permission,
    TokenShare,
)
from worksrail.core.pacing._stock import TokenStock

_MAX_ADVERTISED = 32


def _named(rate: float | NoRate, at: float) -> NamedLimit:
    return NamedLimit(rate, at)


# Answers in the order of their arrival, and the rate observed after them.
@pytest.mark.parametrize(
    ('answers', 'rate'),
    [
        ([_named(5, 1)], 5),
        ([_named(5, 1), _named(7, 2)], 7),
        ([_named(NoRate.NOT_NAMED, 1)], None),
        ([_named(5, 1), _named(NoRate.NOT_NAMED, 2)], None),
        # The head of a long answer was read earlier.
        ([_named(5, 2), _named(NoRate.NOT_NAMED, 1)], 5),
        ([_named(5, 2), _named(7, 1)], 5),
        # Answers are slightly reordered.
        ([_named(5, 2), _named(NoRate.NOT_NAMED, 2.05)], 5),
        ([_named(5, 1), _named(NoRate.UNREADABLE, 2)], 5),
        ([_named(NoRate.UNREADABLE, 1)], None),
        ([_named(5, 1), _named(NoRate.NOT_NAMED, 2), _named(3, 3)], 3),
        ([_named(0, 1)], 0),
    ],
)
def test_limit_named_by_answers(
    answers: list[NamedLimit],
    rate: float | None,
) -> None:
    limits = NamedLimits()
    for answer in answers:
        limits.note('u', answer)
    assert limits.rate_of('u') == rate


# Own observation at 10 s, what a peer advertises then, and the resulting rate.
@pytest.mark.parametrize(
    ('observed', 'advertised', 'rate'),
    [
        (None, AdvertisedLimit('u', 5, 0), 5),
        (None, AdvertisedLimit('u', None, 0), None),
        (_named(5, 8), AdvertisedLimit('u', 7, 0), 7),
        (_named(5, 8), AdvertisedLimit('u', None, 0), None),
        (_named(5, 10), AdvertisedLimit('u', 7, 20), 5),
        (_named(5, 10), AdvertisedLimit('u', None, 20), 5),
        # About the same age: the stricter one counts.
        (_named(5, 10), AdvertisedLimit('u', 3, 1), 3),
        (_named(5, 10), AdvertisedLimit('u', 7, 1), 5),
        (_named(5, 10), AdvertisedLimit('u', None, 1), 5),
    ],
)
def test_newer_or_stricter_observation_counts(
    observed: NamedLimit | None,
    advertised: AdvertisedLimit,
    rate: float | None,
) -> None:
    limits = NamedLimits()
    if observed:
        limits.note('u', observed)
    limits.receive(advertised, 10)
    assert limits.rate_of('u') == rate


def test_age_does_not_shrink_between_two_instances() -> None:
    one, other = NamedLimits(), NamedLimits()
    one.note('u', _named(5, 0))
    now = 0.0
    for _ in range(200):
        now += 0.17
        for sender, receiver in ((one, other), (other, one)):
            advertised = sender.snapshot('u', now)
            assert advertised
            receiver.receive(advertised, now + 0.04)
    one.note('u', _named(NoRate.NOT_NAMED, 1))
    assert one.rate_of('u') is None


@pytest.mark.parametrize('ended', [False, True])
def test_every_change_is_advertised_within_a_second(ended: bool) -> None:
    limits = NamedLimits()
    names = [f'u{number}' for number in range(100)]
    for name in names:
        limits.note(name, _named(5, 1))
        if ended:
            limits.note(name, _named(NoRate.NOT_NAMED, 2))
    advertised = [
        one
        for turn in range(5)
        for one in limits.advertise(
            _MAX_ADVERTISED, 2 + turn * 0.2, with_all=False
        )
    ]
    assert {one.upstream for one in advertised} == set(names)
    assert {one.rate for one in advertised} == {None if ended else 5}


def test_limits_that_change_with_each_answer_keep_a_digest_small() -> None:
    limits = NamedLimits()
    for turn in range(20):
        for number in range(395):
            rate = 5 + (turn * 7 + number) % 20
            limits.note(f'u{number}', _named(rate, turn * 0.1))
        advertised = limits.advertise(
            _MAX_ADVERTISED, turn * 0.1, with_all=True
        )
        assert len(advertised) == _MAX_ADVERTISED


def test_backoff_is_bounded_after_many_denials() -> None:
    stock = TokenStock()
    for turn in range(5000):
        stock.apply_share(TokenShare(0, 2.0), float(turn))
    assert stock.paused_until < inf
    assert stock.scarce_until <= 5000 + 8


def _pacer(name: str, *others: str) -> Pacer:
    pacer = Pacer(name, f'{name}:1', 'r', lambda _: 'r')
    group = Members({one: f'{one}:1' for one in (name, *others)}, 1)
    pacer.follow({'r': group, ALL_REGIONS: group}, 0)
    return pacer


def test_upstream_without_limit_needs_no_token() -> None:
    pacer = _pacer('one')
    assert pacer.permission('u', 0) is Permission.GRANTED


def test_idle_time_adds_at_most_a_burst() -> None:
    pacer = _pacer('one')
    pacer.limits.note('u', _named(5, 0))
    got = 0
    for step in range(1000):
        now = 100 + step * 0.01
        if pacer.obtain('u', now) is Permission.GRANTED:
            pacer.record_sent('u', now)
            got += 1
    assert 0.9 * 50 <= got <= 50 + 3


def test_instance_that_is_not_the_issuer_issues_nothing() -> None:
    pacer = _pacer('one', 'two')
    names = [f'u{number}' for number in range(20)]
    for name in names:
        pacer.limits.note(name, _named(5, 0))
    for name in names:
        pacer.obtain(name, 50)
    requests = list(pacer.make_requests(50))
    assert requests
    for addressed in requests:
        for now in (60, 70):
            grant = pacer.serve(addressed.request, now)
            assert not any(share.count for share in grant.shares.values())


def test_late_grant_is_ignored() -> None:
    pacer, other = _pacer('one', 'two'), _pacer('two', 'one')
    names = [f'u{number}' for number in range(20)]
    for name in names:
        pacer.limits.note(name, _named(50, 0))
        other.limits.note(name, _named(50, 0))
        pacer.obtain(name, 50)
    (addressed,) = pacer.make_requests(50)
    assert pacer.expire_requests(51)
    assert not pacer.receive_grant(other.serve(addressed.request, 51), 51)
    assert not any(stock.tokens for stock in pacer.stocks.values())


def _user_and_issuer() -> tuple[Pacer, Pacer, str]:
    """Return a user and an issuer of tokens, and an upstream of the issuer."""
    user, issuer = _pacer('one', 'two'), _pacer('two', 'one')
    names = [f'u{number}' for number in range(20)]
    for pacer in (user, issuer):
        for name in names:
            pacer.limits.note(name, _named(5, 0))
    for name in names:
        issuer.obtain(name, 50)
    return user, issuer, next(iter(issuer.issuer.owned))


def _exchange(user: Pacer, issuer: Pacer, now: float) -> int:
    """Exchange one round of messages; return the number of returned tokens."""
    returned = 0
    for addressed in user.make_requests(now):
        returned += sum(addressed.request.unused.values())
        user.receive_grant(issuer.serve(addressed.request, now), now)
    return returned


def test_unused_tokens_are_returned_to_issuer() -> None:
    user, issuer, upstream = _user_and_issuer()
    user.obtain(upstream, 60)
    assert not _exchange(user, issuer, 60)
    assert user.permission(upstream, 60.1) is Permission.GRANTED
    assert not _exchange(user, issuer, 60.1)
    level = issuer.issuer.owned[upstream].bucket.level
    assert _exchange(user, issuer, 60.4) == 1
    assert issuer.issuer.owned[upstream].bucket.level >= min(level + 1, 2)
    assert user.permission(upstream, 60.4) is not Permission.GRANTED


def test_tokens_in_use_are_requested_in_advance() -> None:
    user, issuer, upstream = _user_and_issuer()
    user.limits.note(upstream, _named(100, 51))
    issuer.limits.note(upstream, _named(100, 51))
    now = 60.0
    for _ in range(200):
        now += 0.02
        if user.obtain(upstream, now) is Permission.GRANTED:
            user.record_sent(upstream, now)
        _exchange(user, issuer, now)
    assert user.stocks[upstream].tokens > 1
