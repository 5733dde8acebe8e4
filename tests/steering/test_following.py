"""How an entry follows one kind of object in the store."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

import pytest

from tests.steering.world import configuration, route, settings, upstream
from worksrail.core.identity import Incarnation
from worksrail.core.steering import (
    RoutingConfiguration,
    SteeringState,
    StoreUpdate,
    UpstreamRecord,
    reduce,
)
from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.core.steering.events import StoreChecked, UpstreamsListed
from worksrail.core.steering.kinds import StoreKind
from worksrail.daemon.steered import StoreFault
from worksrail.daemon.steered._engine import SteeringEngine
from worksrail.daemon.steered._following import Follower

_Step = StoreUpdate | StoreFault


class ScriptedStore:
    """Answers calls from a script, then ends the test."""

    def __init__(
        self,
        steps: Sequence[_Step],
        before_last: Callable[[], None] = lambda: None,
    ) -> None:
        """Store the script."""
        self.steps = list(steps)
        self.before_last = before_last
        self.calls: list[int | None] = []
        self.stale: list[bool] = []
        self.waits: list[float] = []

    async def read_all(self, kind: StoreKind, *, stale: bool = False) -> _Step:
        """Return the complete list."""
        self.stale.append(stale)
        return self._next(None)

    async def watch(self, kind: StoreKind, since: int, seconds: float) -> _Step:
        """Return the changes since a revision."""
        self.waits.append(seconds)
        return self._next(since)

    def _next(self, since: int | None) -> _Step:
        self.calls.append(since)
        if not self.steps:
            raise asyncio.CancelledError
        if len(self.steps) == 1:
            self.before_last()
        return self.steps.pop(0)


class Followed:
    """The result of following a script."""

    def __init__(
        self,
        kind: StoreKind,
        *steps: _Step,
        later_list: tuple[int, UpstreamRecord] | None = None,
        listed_first: bool = False,
    ) -> None:
        """Follow the script to its end.

        Another entry may deliver a later list during the last call.
        """
        self.store = ScriptedStore(steps, self.receive_later_list)
        self.later_list = later_list
        self.state = SteeringState.from_settings(
            settings(), Incarnation('one', 1), 0, 1
        )
        self.notes: list[Decision] = []
        self.pauses: list[float] = []
        engine = SteeringEngine(self.state, {Decision: self.notes.append})
        turn = asyncio.Event()
        turn.set()
        follower = Follower(
            engine, self.store, kind, sleep=self.sleep, turn=turn
        )
        with contextlib.suppress(asyncio.CancelledError):
            if listed_first:
                asyncio.run(follower.list_once())
            asyncio.run(follower.run())

    def receive_later_list(self) -> None:
        """Receive a later list from another entry."""
        if self.later_list:
            revision, record = self.later_list
            listed = UpstreamsListed(0, (record,), revision)
            reduce(self.state, listed)

    async def sleep(self, seconds: float) -> None:
        """Return without waiting."""
        if seconds:
            self.pauses.append(seconds)

    @property
    def kinds(self) -> list[DecisionKind]:
        """Return the kinds of the decisions about the store."""
        wanted = {DecisionKind.STORE_LOST, DecisionKind.STORE_REGAINED}
        return [note.kind for note in self.notes if note.kind in wanted]


def test_list_is_followed_by_watches() -> None:
    followed = Followed(
        StoreKind.UPSTREAMS,
        StoreUpdate(5, records=(upstream('1'), upstream('2'))),
        StoreUpdate(8, records=(upstream('3'),), removed=('1',)),
    )
    assert followed.store.calls == [None, 5, 8]
    assert set(followed.state.catalog.upstreams) == {'2', '3'}


def test_stale_list_is_followed_by_watches() -> None:
    followed = Followed(
        StoreKind.UPSTREAMS,
        StoreUpdate(5, records=(upstream('1'), upstream('2'))),
        StoreUpdate(8, records=(upstream('3'),), removed=('1',)),
        listed_first=True,
    )
    assert followed.store.calls == [None, 5, 8]
    assert followed.store.stale == [True]
    assert set(followed.state.catalog.upstreams) == {'2', '3'}


@pytest.mark.parametrize(
    ('steps', 'long'),
    [
        ([StoreUpdate(5), StoreUpdate(6), StoreUpdate(7)], [True, True]),
        (
            [StoreUpdate(5), StoreFault.UNREACHABLE, StoreUpdate(6)],
            [True, False],
        ),
        (
            [StoreUpdate(5), StoreFault.CUT, StoreFault.CUT, StoreUpdate(6)],
            [True, False, False],
        ),
    ],
)
def test_first_watch_after_a_failure_is_short(
    steps: list[_Step], long: list[bool]
) -> None:
    followed = Followed(StoreKind.UPSTREAMS, *steps)
    waits = followed.store.waits
    assert [wait > 1 for wait in waits] == [*long, True]


def test_first_watch_after_an_initial_list_is_short() -> None:
    followed = Followed(
        StoreKind.UPSTREAMS,
        StoreUpdate(5, records=(upstream('1'),)),
        StoreUpdate(6),
        listed_first=True,
    )
    assert [wait > 1 for wait in followed.store.waits] == [False, True]


def test_first_watch_after_a_break_is_short() -> None:
    turn = asyncio.Event()
    turn.set()
    store = ScriptedStore([StoreUpdate(5), StoreUpdate(6), StoreUpdate(7)])
    state = SteeringState.from_settings(settings(), Incarnation('one', 1), 0, 1)
    engine = SteeringEngine(state, {Decision: list[Decision]().append})

    async def lose_turn_once(_: float) -> None:
        if len(store.calls) == 2:
            turn.clear()
            asyncio.get_running_loop().call_soon(turn.set)

    follower = Follower(
        engine, store, StoreKind.UPSTREAMS, sleep=lose_turn_once, turn=turn
    )
    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(follower.run())
    assert [wait > 1 for wait in store.waits] == [True, False, True]


def test_watch_ends_within_the_store_history() -> None:
    followed = Followed(StoreKind.EVACUATIONS, StoreUpdate(5), StoreUpdate(5))
    history = followed.state.settings.bounds.store_history
    assert followed.store.waits
    assert max(followed.store.waits) < history


@pytest.mark.parametrize('listed', [True, False])
def test_overtaken_answer_reverts_nothing(
    listed: bool,
) -> None:
    step = StoreUpdate(7, records=(upstream('9'),), removed=('1',))
    first = () if listed else (StoreUpdate(5, records=(upstream('0'),)),)
    followed = Followed(
        StoreKind.UPSTREAMS, *first, step, later_list=(8, upstream('1'))
    )
    assert set(followed.state.catalog.upstreams) == {'1'}
    assert followed.store.calls[-1] == 8


@pytest.mark.parametrize(
    ('fault', 'waited', 'checked', 'outage'),
    [
        (StoreFault.UNREACHABLE, 0.4, False, False),
        (StoreFault.UNREACHABLE, 20, False, True),
        (StoreFault.CUT, 20, False, True),
        # Only health checks made meanwhile tell whether a watch waited for long
        # because nothing changed.
        (StoreFault.UNREACHABLE, 20, True, False),
        (StoreFault.CUT, 20, True, False),
        # No check was made.
        (StoreFault.UNREACHABLE, 20, None, False),
        (StoreFault.CUT, 20, None, False),
    ],
)
def test_watch_without_answered_checks_is_an_outage(
    fault: StoreFault, waited: float, checked: bool | None, outage: bool
) -> None:
    now = [100.0]
    state = SteeringState.from_settings(settings(), Incarnation('one', 1), 0, 1)
    engine = SteeringEngine(state, {Decision: lambda _: None})
    engine.clock = lambda: now[0]

    def wait() -> None:
        end = now[0] + waited
        if checked is not None:
            state.catalog.store_health.record_call(now[0] + 0.1)
        while checked is not None and now[0] + 0.5 < end:
            now[0] += 0.5
            failure = '' if checked else 'no answer'
            engine.dispatch(StoreChecked(now[0], failure))
        now[0] = end

    async def no_sleep(seconds: float) -> None:
        """Return without waiting."""

    async def run() -> None:
        step = StoreUpdate(5, records=(upstream('1'),))
        store = ScriptedStore((step, fault, step), before_last=wait)
        turn = asyncio.Event()
        turn.set()
        follower = Follower(
            engine, store, StoreKind.UPSTREAMS, sleep=no_sleep, turn=turn
        )
        with contextlib.suppress(asyncio.CancelledError):
            await follower.run()

    asyncio.run(run())
    assert (state.catalog.store_health.recovered_at > 0) is outage


def test_lost_history_is_followed_by_a_list() -> None:
    followed = Followed(
        StoreKind.UPSTREAMS,
        StoreUpdate(5, records=(upstream('1'), upstream('2'))),
        StoreFault.HISTORY_GONE,
        StoreUpdate(90, records=(upstream('2'),)),
    )
    assert followed.store.calls == [None, 5, None, 90]
    assert set(followed.state.catalog.upstreams) == {'2'}
    assert not followed.kinds


@pytest.mark.parametrize(
    ('fault', 'max_pause'),
    [
        (StoreFault.UNREACHABLE, 0.15),
        (StoreFault.REFUSED, 1.1),
        (StoreFault.MALFORMED, 1.1),
    ],
)
def test_failures_are_paced_and_logged_once(
    fault: StoreFault, max_pause: float
) -> None:
    followed = Followed(
        StoreKind.CONFIGURATION,
        StoreUpdate(1, configuration(1, (route(),))),
        *[fault] * 8,
        StoreUpdate(1),
    )
    assert len(followed.pauses) == 8
    assert max(followed.pauses) <= max_pause
    assert (max(followed.pauses) > 0.5) is (fault is not StoreFault.UNREACHABLE)
    assert followed.kinds == [
        DecisionKind.STORE_LOST,
        DecisionKind.STORE_REGAINED,
    ]


def test_changes_of_upstreams_are_paced() -> None:
    news = StoreUpdate(1, records=(upstream('1'),))
    assert Followed(StoreKind.UPSTREAMS, news, news).pauses == [0.3, 0.3]
    assert not Followed(StoreKind.CONFIGURATION, news, news).pauses


def test_undecodable_configuration_keeps_the_current_one() -> None:
    followed = Followed(
        StoreKind.CONFIGURATION,
        StoreUpdate(1, configuration(4, (route(),))),
        StoreUpdate(2, None, faults=('expected rows',)),
    )
    in_force = followed.state.configuration
    assert isinstance(in_force, RoutingConfiguration)
    assert in_force.version == 4


def test_evacuations_are_added_and_removed() -> None:
    followed = Followed(
        StoreKind.EVACUATIONS,
        StoreUpdate(1, zones=('a1', 'a2')),
        StoreUpdate(2, removed=('a1',)),
        StoreUpdate(3, zones=('b1',)),
    )
    assert followed.state.catalog.evacuated == {'a2', 'b1'}


class FailingStore(ScriptedStore):
    """Raises an error that nobody foresaw for the first call."""

    error: Exception | None = None

    def _next(self, since: int | None) -> _Step:
        error, self.error = self.error, None
        if error:
            raise error
        return super()._next(since)


# An error that nobody had foreseen in an answer of the store ended the process.
@pytest.mark.parametrize('listed_first', [True, False])
@pytest.mark.parametrize(
    'error',
    [
        ValueError('odd'),
        OverflowError('odd'),
        KeyError('odd'),
        TypeError('odd'),
    ],
    ids=lambda error: type(error).__name__,
)
def test_unforeseen_error_costs_one_answer_only(
    error: Exception, *, listed_first: bool
) -> None:
    record = upstream('i-1')
    store = FailingStore([StoreUpdate(7, records=(record,))])
    store.error = error
    engine = SteeringEngine(
        SteeringState.from_settings(settings(), Incarnation('one', 1), 0, 1)
    )
    engine.runners = {Decision: lambda _: None}
    unusable: list[str] = []

    async def sleep(_: float) -> None:
        """Do not wait."""

    async def run() -> None:
        follower = Follower(
            engine,
            store,  # type: ignore[arg-type]
            StoreKind.UPSTREAMS,
            sleep=sleep,
            count_unusable=unusable.append,
        )
        follower.turn.set()
        if listed_first:
            await follower.list_once()
        with contextlib.suppress(asyncio.CancelledError):
            await follower.run()

    asyncio.run(run())
    assert unusable == [StoreKind.UPSTREAMS.value]
    assert 'i-1' in engine.state.catalog.upstreams
