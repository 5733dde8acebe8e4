"""Differential and property tests against obvious versions."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from tests.steering.world import HOST, configuration, route
from worksrail.core.steering import (
    NoRoute,
    Route,
    ServiceWeight,
    SteeringBounds,
)
from worksrail.core.steering._cold import ColdLimits, most_in_a_second
from worksrail.core.steering._repeats import RepeatBudget
from worksrail.core.steering._splits import Splits

_SEGMENT = st.sampled_from(['a', 'b', 'ab', ''])
_PREFIXES = st.lists(_SEGMENT, max_size=3).map(
    lambda parts: '/' + ''.join(f'{part}/' for part in parts)
)
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


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.booleans(), st.floats(0, 1)),
        max_size=150,
    )
)
def test_repeats_of_all_entries_stay_in_the_budget(
    steps: list[tuple[int, bool, float]],
) -> None:
    bounds = SteeringBounds(repeat_ratio=0.2, repeat_window=10, repeat_extra=6)
    entries = [RepeatBudget(bounds) for _ in range(3)]
    requests: list[float] = []
    repeats: list[float] = []
    now = 0.0
    for entry, is_request, gap in steps:
        now += gap
        if is_request:
            entries[entry].note_request(now)
            requests.append(now)
        elif entries[entry].spend(now, 3):
            repeats.append(now)
    for end in repeats:
        window = [at for at in repeats if end - 10 < at <= end]
        asked = [at for at in requests if end - 10 < at <= end]
        assert len(window) <= 0.2 * len(asked) + 6


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
            limit.note_sent('cold', now)
            sent.append(now)
    for end in sent:
        within = [at for at in sent if end - 1 < at <= end]
        assert len(within) <= most_in_a_second(rate, sharers)
