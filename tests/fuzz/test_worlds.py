"""Random sequences of failures, under which all guarantees must hold."""

from hypothesis import given, settings
from hypothesis import strategies as st

from worksrail.bench.scenarios import parse_scenarios, play

_INSTANCES = ('frp-hall-1', 'irs-hall-1', 'frp-hall-2', 'cal-hall-1')
_PLACES = ('west-end', 'south-central', 'frp-hall', 'irs-hall-1')
_VARIANTS = ('same', 'weighted', 'narrow', 'moved', 'seats')
_UPSTREAMS = ('count-desk-frp-hall-1', 'count-desk-irs-hall-2')

_times = st.integers(6, 30).map(lambda time: f'{time}s')
_durations = st.integers(1, 25).map(lambda time: f'{time}s')


def _step(text: str, **parts: st.SearchStrategy[str]) -> st.SearchStrategy[str]:
    return st.builds(lambda **drawn: text.format(**drawn), **parts)


_failures = st.one_of(
    _step('kill {name}', name=st.sampled_from(_INSTANCES)),
    _step('stop {name}', name=st.sampled_from(_INSTANCES)),
    _step('start {name}', name=st.sampled_from(_INSTANCES)),
    _step(
        'pause {name} for {time}',
        name=st.sampled_from(_INSTANCES),
        time=_durations,
    ),
    _step(
        'cut {one} from {other} for {time}',
        one=st.sampled_from(_PLACES),
        other=st.sampled_from(('corporate-area', 'frp-hall-2', 'cal-hall')),
        time=_durations,
    ),
    _step('store down for {time}', time=_durations),
    _step(
        'store unreachable from {place} for {time}',
        place=st.sampled_from(_PLACES),
        time=_durations,
    ),
    _step('store loses {n} answers', n=st.sampled_from('1248')),
    _step('store reads {n} stale', n=st.sampled_from('128')),
    _step(
        'messages lost {n}% for {time}',
        n=st.sampled_from(('10', '50')),
        time=_durations,
    ),
    _step('messages repeated 40% for {time}', time=_durations),
    _step('messages disordered 1s for {time}', time=_durations),
    _step('roll {name}', name=st.sampled_from(_VARIANTS)),
    _step('drain upstream/{name}', name=st.sampled_from(_UPSTREAMS)),
    _step('undrain upstream/{name}', name=st.sampled_from(_UPSTREAMS)),
    _step(
        'upstream {name} {how} for {time}',
        name=st.sampled_from(_UPSTREAMS),
        how=st.sampled_from(('sheds', 'breaks', 'down', 'crawls')),
        time=_durations,
    ),
    st.just('race count-desk 10 times from west-end'),
    st.just('resend count-desk 10 times from west-end'),
)


@settings(max_examples=10)
@given(st.lists(st.tuples(_times, _failures), min_size=2, max_size=9))
def test_random_failures_break_no_guarantee(
    steps: list[tuple[str, str]],
) -> None:
    lines = [f'  at {time} {step}' for time, step in steps]
    text = '\n'.join(
        (
            'scenario "drawn"',
            '  fails messages',
            '  holds slots',
            '  at 6s load count-desk 110/s from west-end writes 30% for 40s',
            *lines,
            '  end at 64s',
        )
    )
    (scenario,) = parse_scenarios(text)
    verdict = play(scenario)
    assert not verdict.faults, f'{verdict.faults}\n{text}'
