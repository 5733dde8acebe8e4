"""Differential and property tests against naive implementations."""

from collections import Counter

from hypothesis import example, given
from hypothesis import strategies as st

from tests.steering.world import HOST, configuration, route
from worksrail.core.budgets import BudgetBounds, SharedBudgets
from worksrail.core.identity import Incarnation
from worksrail.core.steering import (
    NoRoute,
    Route,
    ServiceWeight,
)
from worksrail.core.steering._cold_limits import (
    ColdLimits,
    max_requests_per_second,
)
from worksrail.core.steering._splits import Splits

_SEGMENT = st.sampled_from(['a', 'b', 'ab', ''])
_PREFIXES = st.lists(_SEGMENT, max_size=3).map(
    lambda parts: '/' + ''.join(f'{part}/' for part in parts)
)
# Window in which repeats are counted, and interval of digests; seconds.
_WINDOW = 10.0
_DIGEST_INTERVAL = 0.2
_GAPS = st.lists(st.floats(0, 1.5), min_size=1, max_size=80)


@given(
    st.sets(_PREFIXES, max_size=6),
    st.lists(_SEGMENT, max_size=4),
    st.sampled_from(['', '?q=/a/', '/']),
)
def test_longest_prefix(
    prefixes: set[str], parts: list[str], tail: str
) -> None:
    table = configuration(
        1, [route(prefix, prefix=prefix) for prefix in prefixes]
    )
    target = '/' + '/'.join(parts) + tail
    path = target.partition('?')[0]
    fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
    found = table.match(f'{HOST}:80', target)
    if fitting:
        assert isinstance(found, Route)
        assert found.prefix == max(fitting, key=len)
    else:
        assert isinstance(found, NoRoute)


@given(st.lists(st.integers(1, 20), min_size=2, max_size=4))
def test_split_is_never_off_by_more_than_one(weights: list[int]) -> None:
    parts = tuple(
        ServiceWeight(str(number), weight)
        for number, weight in enumerate(weights)
    )
    split = route(parts=parts)
    splits = Splits()
    counts: Counter[str] = Counter()
    for total in range(1, 200):
        counts[splits.choose(split)] += 1
        for part in parts:
            share = part.weight / sum(weights)
            assert abs(counts[part.service] - share * total) <= 1


def _count(times: list[float], begin: float) -> int:
    return sum(begin <= at < begin + _WINDOW for at in times)


def _exchange_digests(
    entries: list[SharedBudgets], before: float, now: float
) -> None:
    """Exchange the digests that are due between two points in time."""
    for turn in range(
        int(before / _DIGEST_INTERVAL) + 1, int(now / _DIGEST_INTERVAL) + 1
    ):
        at = turn * _DIGEST_INTERVAL
        advertised = [entry.advertise(at) for entry in entries]
        for entry in entries:
            entry.set_fleet_size(len(entries), len(entries))
            entry.maintain(at)
            for number, one in enumerate(entries):
                if one is not entry:
                    entry.receive(
                        Incarnation(str(number), 1), advertised[number], at
                    )


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.booleans(), st.floats(0, 1)),
        max_size=150,
    )
)
@example(
    [(0, True, 0.1)] * 50
    + [(0, False, 0.0)] * 20
    + [(1, True, 0.1)] * 50
    + [(1, False, 0.0)] * 20
)
def test_repeats_of_all_entries_stay_within_the_budget(
    steps: list[tuple[int, bool, float]],
) -> None:
    bounds = BudgetBounds(ratio=0.2, window=_WINDOW, extra=6)
    entries = [SharedBudgets.begin(bounds, -_WINDOW, seed) for seed in range(3)]
    requests: list[float] = []
    repeats: list[float] = []
    now = 0.0
    for entry, is_request, gap in steps:
        _exchange_digests(entries, now, now + gap)
        now += gap
        if is_request:
            entries[entry].record_request('orders', now)
            requests.append(now)
        elif entries[entry].spend('orders', now):
            repeats.append(now)
    for begin in repeats:
        windows = (begin, begin - _WINDOW / 2, begin - _WINDOW)
        asked = max(_count(requests, window) for window in windows)
        assert _count(repeats, begin) <= 0.2 * asked + 6


@given(st.integers(1, 5), st.sampled_from([3.5, 14.0, 1.0]), _GAPS)
def test_cold_rate_holds_in_every_second(
    sharers: int, rate: float, gaps: list[float]
) -> None:
    limits = [ColdLimits() for _ in range(sharers)]
    sent: list[float] = []
    now = 0.0
    for number, gap in enumerate(gaps * 4):
        now += gap / 20
        limit = limits[number % sharers]
        if limit.allows('cold', rate, sharers, now):
            limit.record_sent('cold', now)
            sent.append(now)
    for end in sent:
        within = [at for at in sent if end - 1 < at <= end]
        assert len(within) <= max_requests_per_second(rate, sharers)
