"""What an instance of the own mode may give up, and when, without I/O.

What was seen: requests left a queue in the moment in which a slot was theirs,
a retry that could have waited was refused, and requests to a service that a
new bundle no longer has got no answer at all, so that a stop had no end.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import pytest

from worksrail.bench.world import World, WorldPlan
from worksrail.core.bundle import Bundle, pack_bundle, parse_bundle
from worksrail.core.effects import (
    AnswerResult,
    CancelRequest,
    Effect,
    ExitProcess,
)
from worksrail.core.events import (
    AttemptEnded,
    AttemptOutcome,
    BundleFetched,
    CallerGone,
    DrainsSeen,
    Event,
    PassEnded,
    RequestArrived,
    StopRequested,
    Ticked,
)
from worksrail.core.instance import Instance
from worksrail.core.reducer import reduce
from worksrail.core.requests import RequestHead
from worksrail.core.requests.active import ActiveRequest, RequestState
from worksrail.core.results import Certainty, ResultCode
from worksrail.core.settings import CoreSettings

_SERVICE: Final = 'orders'
_SETTLING_S: Final = 8.0
_TICK_S: Final = 0.05
_ANSWER_AGE_S: Final = 1.0
_DEADLINE_S: Final = 3.0
_QUEUE_WAIT_S: Final = 0.5
_SLOTS: Final = 2
_ENTRY: Final = 'entry/north-a-1'


def _bundle(*services: str) -> Bundle:
    lines = [
        'format: worksrail/1',
        'name: stops',
        f'answer_age: {_ANSWER_AGE_S}',
        'regions:',
        '  - {name: north, seats: 1, headroom: 0.1}',
        'zones:',
        '  - {name: north-a, region: north}',
        'services:',
    ]
    for number, service in enumerate(services):
        lines.extend(
            (
                f'  - name: {service}',
                f'    host: {service}.example',
                f'    deadline: {_DEADLINE_S}',
                f'    queue_wait: {_QUEUE_WAIT_S}',
                '    upstreams:',
                f'      - {{name: {service}-1, zone: north-a, slots: {_SLOTS},'
                f' address: "127.30.{number}.1:9300"}}',
            )
        )
    bundle = parse_bundle('\n'.join(lines))
    assert isinstance(bundle, Bundle), bundle
    return bundle


@dataclass
class _Entry:
    """One settled instance, to which events are given by hand."""

    instance: Instance
    now: float
    effects: list[Effect] = field(default_factory=list)

    @classmethod
    def start_settled(cls) -> '_Entry':
        plan = WorldPlan(
            _bundle(_SERVICE, 'other'),
            CoreSettings(),
            {_SERVICE: 0.02, 'other': 0.02},
            entries_per_region=1,
        )
        world = World.from_plan(plan)
        world.run_until(_SETTLING_S)
        return cls(world.live()[0].instance, world.clock.now)

    def give(self, event: Event) -> list[Effect]:
        effects = reduce(self.instance, event)
        self.effects.extend(effects)
        return effects

    def arrive(self, number: int) -> ActiveRequest | None:
        head = RequestHead(f't{number}', f'{_SERVICE}.example', 'GET', '/', '')
        self.give(RequestArrived(self.now, self.now, number, head))
        return self.instance.requests.get(number)

    def fill(self) -> None:
        """Take all slots, with requests 1, 2 and so on."""
        for number in range(1, 1 + _SLOTS):
            active = self.arrive(number)
            assert active
            assert active.state is RequestState.SENT

    def end(
        self,
        number: int,
        outcome: AttemptOutcome = AttemptOutcome.ANSWERED,
    ) -> list[Effect]:
        return self.give(AttemptEnded(self.now, number, outcome))

    def tick(self, seconds: float = _TICK_S) -> list[Effect]:
        """Let time pass in one step."""
        self.now += seconds
        return self.give(Ticked(self.now, self.now))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / _TICK_S)):
            self.tick()

    def stop(self) -> None:
        self.give(StopRequested(self.now))

    def roll(self, bundle: Bundle) -> None:
        generation = self.instance.configuration.generation + 1
        digest = pack_bundle(bundle).digest
        self.give(BundleFetched(self.now, generation, digest, bundle))

    def drain(self, *targets: str) -> None:
        revision = self.instance.configuration.drain_revision + 1
        self.give(DrainsSeen(self.now, revision, targets))

    def codes(self, number: int) -> list[ResultCode]:
        """Results with which a request was answered."""
        return [
            effect.code
            for effect in self.effects
            if isinstance(effect, AnswerResult) and effect.request == number
        ]

    @property
    def has_exited(self) -> bool:
        return any(isinstance(one, ExitProcess) for one in self.effects)


def _runs(entry: _Entry) -> int:
    entry.arrive(1)
    return 1


def _waits(entry: _Entry) -> int:
    entry.fill()
    active = entry.arrive(9)
    assert active
    assert active.state is RequestState.WAITING
    return 9


def _waits_for_budget(entry: _Entry) -> int:
    active = entry.arrive(1)
    assert active
    budget = entry.instance.retry_budget(_SERVICE)
    budget.tokens, budget.success_rate = 0.5, 20.0
    budget.updated_at = entry.now
    entry.end(1, AttemptOutcome.SHED)
    assert active.state is RequestState.WAITING_FOR_BUDGET
    return 1


def _add(entry: _Entry, state: RequestState) -> int:
    head = RequestHead('t1', f'{_SERVICE}.example', 'GET', '/', '')
    deadline = entry.now + _DEADLINE_S
    active = ActiveRequest(1, head, _SERVICE, 'north', deadline, True)
    active.state = state
    entry.instance.requests[active.number] = active
    return active.number


def _is_passed(entry: _Entry) -> int:
    return _add(entry, RequestState.PASSED)


def _waits_for_quota(entry: _Entry) -> int:
    """Let it wait for a limit that the bundle in force does not have."""
    number = _add(entry, RequestState.WAITING_FOR_QUOTA)
    entry.instance.limits.reports.add({'a customer': [number]}, entry.now)
    return number


_STATES: Final = (
    _runs,
    _waits,
    _waits_for_budget,
    _waits_for_quota,
    _is_passed,
)


@pytest.mark.parametrize('begin', _STATES)
def test_exit_waits_for_every_open_request(
    begin: Callable[[_Entry], int],
) -> None:
    entry = _Entry.start_settled()
    number = begin(entry)
    entry.stop()
    entry.run(_ANSWER_AGE_S + 5 * _DEADLINE_S)
    waiting = number in entry.instance.requests
    assert waiting or entry.codes(number)
    assert entry.has_exited is not bool(entry.instance.requests)
    for open_request in list(entry.instance.requests.values()):
        if open_request.state is RequestState.PASSED:
            entry.give(PassEnded(entry.now, open_request.number, ResultCode.OK))
        else:
            entry.end(open_request.number)
    entry.run(_ANSWER_AGE_S + 20)
    assert entry.has_exited


@pytest.mark.parametrize('begin', _STATES)
def test_request_is_answered_though_its_service_is_removed(
    begin: Callable[[_Entry], int],
) -> None:
    entry = _Entry.start_settled()
    number = begin(entry)
    entry.roll(_bundle('other'))
    entry.run(2 * _QUEUE_WAIT_S)
    active = entry.instance.requests.get(number)
    if active and active.state is RequestState.PASSED:
        entry.give(PassEnded(entry.now, number, ResultCode.NO_SLOT))
    elif active:
        entry.end(number, AttemptOutcome.NOT_SENT)
    entry.run(_DEADLINE_S)
    assert len(entry.codes(number)) == 1
    assert entry.codes(number)[0].certainty is Certainty.NOT_RUN
    assert number not in entry.instance.requests


@pytest.mark.parametrize(
    'outcome', [AttemptOutcome.TIMED_OUT, AttemptOutcome.BROKE_BEFORE_ANSWER]
)
def test_request_whose_slot_is_released_is_not_refused_instead(
    outcome: AttemptOutcome,
) -> None:
    """A slot that is released at the end of the wait is taken."""
    entry = _Entry.start_settled()
    number = _waits(entry)
    for running in range(1, 1 + _SLOTS):
        entry.instance.requests[running].idempotent = False
        entry.end(running, outcome)
    assert entry.instance.releases
    entry.tick(_QUEUE_WAIT_S + _TICK_S)
    assert not entry.codes(number)
    assert entry.instance.requests[number].state is RequestState.SENT


def test_request_is_not_sent_after_its_deadline() -> None:
    """The process stood still, so nothing ended its wait in time."""
    entry = _Entry.start_settled()
    number = _waits(entry)
    entry.instance.requests[number].deadline = entry.now + 1
    for running in range(1, 1 + _SLOTS):
        entry.end(running, AttemptOutcome.TIMED_OUT)
    entry.tick(1)
    assert entry.codes(number) == [ResultCode.NO_SLOT]


def test_queued_retry_waits_for_the_budget_that_was_spent_meanwhile() -> None:
    entry = _Entry.start_settled()
    number = _waits(entry)
    active = entry.instance.requests[number]
    active.failed_with, active.attempts = ResultCode.UPSTREAM_SHED, 1
    budget = entry.instance.retry_budget(_SERVICE)
    budget.tokens, budget.success_rate = 0.3, 20.0
    budget.updated_at = entry.now
    entry.end(1)
    assert not entry.codes(number)
    assert active.state is RequestState.WAITING_FOR_BUDGET
    budget.tokens = 1
    entry.end(2)
    assert entry.instance.requests[number].state is RequestState.SENT


def test_queued_retry_waits_no_longer_than_it_would_have_queued() -> None:
    entry = _Entry.start_settled()
    number = _waits(entry)
    active = entry.instance.requests[number]
    active.failed_with, active.attempts = ResultCode.UPSTREAM_SHED, 1
    budget = entry.instance.retry_budget(_SERVICE)
    budget.tokens, budget.success_rate = 0.3, 20.0
    budget.updated_at = entry.now + _QUEUE_WAIT_S / 2
    entry.run(_QUEUE_WAIT_S / 2)
    entry.end(1)
    entry.run(_QUEUE_WAIT_S / 2 + _TICK_S)
    assert entry.codes(number) == [ResultCode.UPSTREAM_SHED]


@pytest.mark.parametrize('seconds', [0.1, 1, 2.9, 3.5, 6])
def test_second_stop_changes_nothing(seconds: float) -> None:
    entry = _Entry.start_settled()
    entry.arrive(1)
    entry.stop()
    assert entry.instance.leaving
    until = entry.instance.leaving.accepts_until
    entry.run(seconds)
    entry.stop()
    assert entry.instance.leaving.accepts_until == until
    entry.end(1)
    entry.run(20)
    assert entry.has_exited


@pytest.mark.parametrize('seconds', [0.5, 4, 20])
def test_stop_of_a_drained_entry_does_not_open_it_again(seconds: float) -> None:
    entry = _Entry.start_settled()
    entry.drain(_ENTRY)
    assert entry.instance.leaving
    until = entry.instance.leaving.accepts_until
    entry.run(seconds)
    entry.stop()
    assert entry.instance.leaving.accepts_until == until
    entry.run(until - entry.now + 20)
    assert entry.has_exited


def test_end_of_a_drain_does_not_end_a_stop() -> None:
    entry = _Entry.start_settled()
    entry.drain(_ENTRY)
    entry.stop()
    entry.drain()
    assert entry.instance.leaving
    entry.run(20)
    assert entry.has_exited


@pytest.mark.parametrize('seconds', [0, 1, 2.9, 3.1, 8])
def test_request_at_each_moment_of_a_stop_is_answered(seconds: float) -> None:
    entry = _Entry.start_settled()
    entry.stop()
    entry.run(seconds)
    active = entry.arrive(1)
    if active:
        assert active.state is RequestState.SENT
        entry.run(_DEADLINE_S - _TICK_S)
        assert not entry.has_exited
        assert not any(isinstance(one, CancelRequest) for one in entry.effects)
        entry.end(1)
    else:
        assert entry.codes(1) == [ResultCode.ENTRY_LEAVING]


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('begin', [_runs, _is_passed])
def test_only_a_caller_that_leaves_cancels_its_request(
    begin: Callable[[_Entry], int], idempotent: bool
) -> None:
    entry = _Entry.start_settled()
    number = begin(entry)
    entry.instance.requests[number].idempotent = idempotent
    entry.stop()
    entry.run(_DEADLINE_S - _TICK_S)
    assert CancelRequest(number) not in entry.effects
    entry.give(CallerGone(entry.now, number))
    assert (CancelRequest(number) in entry.effects) is idempotent
    assert number in entry.instance.requests
