"""Simulates quotas over whole fleets on a virtual clock, with faults."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.limits.staggered import StaggeredQuotas
from worksrail.bench.limits import (
    WAYS,
    Asking,
    Fault,
    FaultKind,
    Outcome,
    Plan,
    mixed_customers,
    play,
)
from worksrail.core.customers import Quota

_HOT = (3.0, 8.0, 7.5)
_FAULTS = {
    'none': (),
    '60 in 100 killed': (Fault(5, FaultKind.KILL, 0.6),),
    'all killed': (Fault(5, FaultKind.KILL, 1),),
    'killed twice': (
        Fault(4, FaultKind.KILL, 0.6),
        Fault(6.5, FaultKind.KILL, 0.6),
    ),
    '35 in 100 cut off': (Fault(2, FaultKind.CUT, 0.35, 6),),
    'lowered': (Fault(4, FaultKind.LOWER, 0.2),),
}


def _plan(entries: int, fault: str, *, hot: bool = True) -> Plan:
    customers = mixed_customers(
        40, entries * 12.0, hot=_HOT if hot else (0, 0, 1)
    )
    return Plan(entries, customers, _FAULTS[fault], seconds=10)


def _owned(plan: Plan) -> Outcome:
    return play(plan, WAYS['owned'])


@pytest.mark.parametrize('fault', _FAULTS)
@pytest.mark.parametrize('entries', [9, 45])
def test_quota_holds_in_every_window(entries: int, fault: str) -> None:
    assert _owned(_plan(entries, fault)).worst <= 1


@pytest.mark.parametrize(
    ('entries', 'fault', 'hot', 'max_refused'),
    [
        (9, 'none', False, 0.002),
        (45, 'none', False, 0.002),
        (9, 'none', True, 0.005),
        (45, 'none', True, 0.002),
        (45, 'all killed', True, 0.01),
        (45, '60 in 100 killed', True, 0.01),
    ],
)
def test_few_requests_within_quota_are_refused(
    entries: int, fault: str, hot: bool, max_refused: float
) -> None:
    plan = _plan(entries, fault, hot=hot)
    assert _owned(plan).inside <= max_refused


@pytest.mark.parametrize('share', [0.6, 1])
@pytest.mark.parametrize('seed', range(1, 7))
def test_quota_holds_though_entries_learn_of_each_other_at_different_times(
    seed: int,
    share: float,
) -> None:
    customers = mixed_customers(40, 67 * 12.0, hot=(3.0, 10.0, 7.5))
    killed = (Fault(6, FaultKind.KILL, share),)
    plan = Plan(67, customers, killed, seconds=14, seed=seed)
    outcome = play(plan, StaggeredQuotas.of)
    assert outcome.worst <= 1
    assert outcome.inside <= 0.01


def test_equal_shares_refuse_small_customers() -> None:
    # The reason for a single owner: without any fault, equal shares refuse far
    # more of the same callers' requests.
    plan = _plan(45, 'none', hot=False)
    equal = play(plan, WAYS['equal shares'])
    assert equal.inside > 0.1 > 20 * _owned(plan).inside


@pytest.mark.parametrize('loss', [0.03, 0.2])
def test_quota_holds_despite_lost_datagrams(loss: float) -> None:
    plan = replace(_plan(9, 'none'), loss=loss)
    assert _owned(plan).worst <= 1


_customers = st.lists(
    st.tuples(
        st.floats(0.5, 60),
        st.floats(0.3, 3),
        st.floats(0.2, 2),
        st.floats(1, 8),
    ),
    min_size=1,
    max_size=5,
)
_faults = st.lists(
    st.one_of(
        st.builds(
            Fault,
            st.floats(1, 7),
            st.just(FaultKind.KILL),
            st.sampled_from((0.2, 0.6, 1)),
        ),
        st.builds(
            Fault,
            st.floats(1, 6),
            st.just(FaultKind.CUT),
            st.floats(0.05, 0.35),
            st.floats(1, 3),
        ),
    ),
    max_size=1,
)


@settings(max_examples=25, deadline=None)
@given(
    entries=st.integers(2, 20),
    drawn=_customers,
    faults=_faults,
    loss=st.sampled_from((0, 0.02)),
    seed=st.integers(0, 10_000),
)
def test_quota_holds_for_any_fleet(
    entries: int,
    drawn: list[tuple[float, float, float, float]],
    faults: list[Fault],
    loss: float,
    seed: int,
) -> None:
    customers = tuple(
        Asking(
            f'c{number}',
            rate,
            Quota(rate * headroom, rate * headroom * burst),
            (2.0, 6.0, hot),
        )
        for number, (rate, headroom, burst, hot) in enumerate(drawn)
    )
    plan = Plan(entries, customers, tuple(faults), 9, loss, seed)
    assert _owned(plan).worst <= 1
