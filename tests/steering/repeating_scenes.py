"""Scenarios of load and faults in which retries are counted."""

import math
from collections.abc import Callable
from dataclasses import replace

from tests.steering.repeating_world import REGIONS, RetryFleetWorld

Scene = Callable[[RetryFleetWorld], None]

# Share of the attempts that are rejected: more than the budget lets be retried.
_MANY = 0.8
# Time for which a moving load stays in one region, and the last part of it, in
# which requests are rejected; both in windows.
_TURN = 0.9
_LATE = 0.2
# Amplitude of the regions' load waves, and their period in seconds.
_SWING = 0.55
_PERIOD = 36.0
# Seconds between two stops, and share of the entries that are stopped.
_STOPS_APART = 0.4
_STOPPED = 0.45
# Number of stops before the first rejection.
_STOPS_BEFORE = 3
# Share of the entries that are killed.
_KILLED = 0.6
# Share of the entries that freeze or are cut off, and the durations in seconds.
_TROUBLED = 0.3
_FROZEN_TIME = 3.0
_CUT_TIME = 5.0
# Share of the entries that are added.
_ADDED = 0.3
# Seconds for which a zone is evacuated.
_EMPTY_TIME = 6.0
# Entries of a zone that are large, and load of the others relative to one.
_LARGE = 2
_SMALL_LOAD = 0.003


def level(world: RetryFleetWorld) -> None:
    """Retries are needed all the time."""
    world.reject(_MANY)
    world.wait(2 * world.bounds.repeat_window)


def late(world: RetryFleetWorld) -> None:
    """Retries are needed after a window without rejections."""
    world.wait(world.bounds.repeat_window)
    level(world)


def at_once(world: RetryFleetWorld) -> None:
    """All attempts are rejected for a short time, three times."""
    window = world.bounds.repeat_window
    world.wait(window)
    for _ in range(3):
        world.reject(1)
        world.wait(0.2 * window)
        world.reject(0)
        world.wait(0.4 * window)


def one_region(world: RetryFleetWorld) -> None:
    """Only the entries of one region need retries."""
    world.wait(world.bounds.repeat_window)
    world.reject(_MANY, 'b')
    world.wait(2 * world.bounds.repeat_window)


def unreachable(world: RetryFleetWorld) -> None:
    """Some attempts find no connection, in addition to the rejections."""
    world.demand.unreachable_share = 0.3
    late(world)


def moving(world: RetryFleetWorld) -> None:
    """All load moves from region to region; each turn ends with rejections."""
    _move(world, lambda left: None)


def moving_longer(world: RetryFleetWorld) -> None:
    """Like ``moving``, with rejections twice as long."""
    _move(world, lambda left: None, late=2 * _LATE)


def moving_once(world: RetryFleetWorld) -> None:
    """All load moves from one region to another one."""
    _move(world, lambda left: None, turns='ab')


def moving_stops(world: RetryFleetWorld) -> None:
    """Entries that callers have left are stopped and restarted."""
    _move(world, lambda left: _each(world.leave, left))


def moving_crashes(world: RetryFleetWorld) -> None:
    """Entries that callers have left are killed and restarted."""
    _move(world, lambda left: world.crash(*left))


def killed_with_all_load(
    after: float,
) -> Callable[[RetryFleetWorld], None]:
    """Kill and restart a whole zone that has all load."""

    def scene(world: RetryFleetWorld) -> None:
        window = world.bounds.repeat_window
        names = [name for name in sorted(world.states) if name.startswith('a1')]
        world.demand.entry_weight = lambda name: float(name.startswith('a1'))
        world.wait(window)
        world.reject(_MANY)
        world.wait(0.5 * window)
        for name in names:
            world.stop(name)
        world.wait(after)
        for name in names:
            world.start(name)
        world.wait(2 * window)

    return scene


def sudden(world: RetryFleetWorld) -> None:
    """A service without requests gets its full load, mostly rejected."""
    full, world.demand.rate = world.demand.rate, 0
    world.wait(2 * world.bounds.repeat_window)
    world.demand.rate = full
    level(world)


def rise_and_fall(world: RetryFleetWorld) -> None:
    """The total load rises for little more than a window, and falls again."""
    window, full = world.bounds.repeat_window, world.demand.rate
    world.demand.rate = 0.3 * full
    world.wait(2 * window)
    world.demand.rate = full
    world.wait(0.6 * window)
    world.reject(_MANY)
    world.wait(0.7 * window)
    world.demand.rate = 0.3 * full
    world.wait(2 * window)


def waves(world: RetryFleetWorld) -> None:
    """The load of regions goes up and down in turn."""
    _wave(world)
    late(world)


def stops(world: RetryFleetWorld) -> None:
    """Entries are stopped in turn and restarted; callers use the others."""
    window = world.bounds.repeat_window
    world.wait(window)
    for number, name in enumerate(_some(world, _STOPPED)):
        if number == _STOPS_BEFORE:
            world.reject(_MANY)
        world.leave(name)
        world.wait(_STOPS_APART)
    world.wait(window)


def waves_and_stops(world: RetryFleetWorld) -> None:
    """Entries are stopped in turn while the load of regions changes."""
    _wave(world)
    stops(world)


def relays_stop(
    after: float, apart: float = 0
) -> Callable[[RetryFleetWorld], None]:
    """Stop and restart the relay of each zone, which has half of its load."""

    def scene(world: RetryFleetWorld) -> None:
        _use_large(world)
        world.wait(world.bounds.repeat_window)
        world.reject(_MANY)
        world.wait(after)
        for name in world.relays():
            world.leave(name)
            world.wait(apart)
        world.wait(world.bounds.repeat_window - after)

    return scene


def zones_lose_both(
    after: float, apart: float
) -> Callable[[RetryFleetWorld], None]:
    """Stop both large entries of each zone, one soon after the other."""

    def scene(world: RetryFleetWorld) -> None:
        _use_large(world)
        world.wait(world.bounds.repeat_window)
        world.reject(_MANY)
        world.wait(after)
        relays = world.relays()
        _each(world.leave, relays)
        world.wait(apart)
        _each(world.leave, sorted(set(_large(world)) - set(relays)))
        world.wait(world.bounds.repeat_window - after)

    return scene


def relays_crash(
    after: float, before: float = 0
) -> Callable[[RetryFleetWorld], None]:
    """Kill the relay of each zone, and its other large entry before that."""

    def scene(world: RetryFleetWorld) -> None:
        _use_large(world)
        world.wait(world.bounds.repeat_window)
        world.reject(_MANY)
        world.wait(after)
        relays = world.relays()
        if before:
            world.crash(*sorted(set(_large(world)) - set(relays)))
            world.wait(before)
        world.crash(*relays)
        world.wait(world.bounds.repeat_window - after)

    return scene


def zone_emptied(world: RetryFleetWorld) -> None:
    """Callers and requests leave a zone and return to it."""
    world.wait(world.bounds.repeat_window)
    world.evacuate('a1')
    world.use_only('a2', 'b', 'c')
    world.wait(_EMPTY_TIME / 2)
    world.reject(_MANY)
    world.wait(_EMPTY_TIME / 2)
    world.evacuate()
    world.use_only('')
    world.wait(2 * world.bounds.repeat_window)


def some_crash(world: RetryFleetWorld) -> None:
    """Most entries are killed at once during rejections."""
    _trouble(world, lambda: world.crash(*_some(world, _KILLED)))


def all_crash(world: RetryFleetWorld) -> None:
    """All entries are killed at once during rejections."""
    _trouble(world, lambda: world.crash(*sorted(world.states)))


def all_crash_late(world: RetryFleetWorld) -> None:
    """All entries are killed at once after they have used their budget."""
    _trouble(world, lambda: world.crash(*sorted(world.states)), after=6)


def some_freeze(world: RetryFleetWorld) -> None:
    """Some entries are suspended and resume with their pending requests."""

    def freeze() -> None:
        world.frozen |= set(_some(world, _TROUBLED))
        world.wait(_FROZEN_TIME)
        world.frozen.clear()

    _trouble(world, freeze)


def some_cut_off(world: RetryFleetWorld) -> None:
    """Some entries are cut off from the others, but still have callers."""

    def cut() -> None:
        world.cut_off |= set(_some(world, _TROUBLED))
        world.wait(_CUT_TIME)
        world.cut_off.clear()

    _trouble(world, cut)


def cut_off_before(world: RetryFleetWorld) -> None:
    """Some entries with all load are cut off before the first rejection."""
    world.wait(world.bounds.repeat_window)
    cut = set(_some(world, _TROUBLED))
    world.cut_off |= cut
    world.wait(_CUT_TIME / 2)
    world.demand.entry_weight = lambda name: float(name in cut)
    world.reject(_MANY)
    world.wait(_CUT_TIME / 2)
    world.cut_off.clear()
    world.demand.entry_weight = lambda name: float(name not in cut)
    world.wait(world.bounds.repeat_window)


def added(world: RetryFleetWorld) -> None:
    """Entries are added, and callers use them like the others."""

    def add() -> None:
        for name in _some(world, _ADDED):
            world.start(f'{name}9')

    _trouble(world, add)


def added_and_used(world: RetryFleetWorld) -> None:
    """Entries are added, and callers use only these from then on."""

    def add() -> None:
        names = [f'{name}9' for name in _some(world, _ADDED)]
        _each(world.start, names)
        world.demand.entry_weight = lambda name: float(name in names)

    _trouble(world, add)


def ratio_lowered(world: RetryFleetWorld) -> None:
    """The ratio is lowered while retries are needed."""
    late(world)
    world.set_bounds(replace(world.bounds, repeat_ratio=0.05))
    world.wait(2 * world.bounds.repeat_window)


def _move(
    world: RetryFleetWorld,
    follow: Callable[[list[str]], None],
    turns: str = 'abcab',
    late: float = _LATE,
) -> None:
    window = world.bounds.repeat_window
    for region in turns:
        left = [
            one
            for one in sorted(world.states)
            if world.demand.entry_weight(one)
        ]
        world.use_only(region)
        if world.count.demand_periods:
            follow(left)
        world.wait((_TURN - late) * window)
        world.reject(_MANY)
        world.wait(late * window)
        world.reject(0)


def _wave(world: RetryFleetWorld) -> None:
    def entry_weight(name: str) -> float:
        turn = 'abc'.index(REGIONS[name.partition('-')[0]]) / 3
        angle = 2 * math.pi * (world.now / _PERIOD + turn)
        return 1 + _SWING * math.sin(angle)

    world.demand.entry_weight = entry_weight


def _large(world: RetryFleetWorld) -> list[str]:
    return [
        name
        for name in sorted(world.states)
        if int(name.partition('-')[2]) < _LARGE
    ]


def _use_large(world: RetryFleetWorld) -> None:
    """Let callers use large entries, and others where none is running."""

    def entry_weight(name: str) -> float:
        zone = name.partition('-')[0]
        running = [one for one in world.running() if one.startswith(zone)]
        large = [one for one in running if one in _large(world)]
        if not large:
            return 1 / len(running)
        return 1 / len(large) if name in large else _SMALL_LOAD

    world.demand.entry_weight = entry_weight


def _trouble(
    world: RetryFleetWorld, fault: Callable[[], None], after: float = 1
) -> None:
    """Cause a fault after some seconds of rejections."""
    world.wait(world.bounds.repeat_window)
    world.reject(_MANY)
    world.wait(after)
    fault()
    world.wait(2 * world.bounds.repeat_window)


def _some(world: RetryFleetWorld, share: float) -> list[str]:
    count = max(1, round(share * len(world.states)))
    return world.draw.sample(sorted(world.states), count)


def _each(act: Callable[[str], None], names: list[str]) -> None:
    for name in names:
        act(name)
