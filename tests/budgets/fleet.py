"""Instances that share a budget of repeats, as digests tell it; no requests.

Stands for a fleet at its full load, which reducers are too slow for: instances of
a zone tell each other, a speaker tells the other zones for its own.
"""

import math
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

from worksrail.core.budgets import (
    AdvertisedBudgets,
    BudgetBounds,
    SharedBudgets,
)
from worksrail.core.identity import Incarnation

STEP = 0.05
_DIGEST = 0.2
_ZONE_DIGEST = 0.36
_SETTLING = 0.5
# Seconds that a digest takes within a zone, to another, and within that one.
_NEAR, _FAR, _PASSED_ON = 0.02, 0.07, 0.13
# Seconds without a digest after which an instance is taken to be dead.
_DEAD_AFTER = 1.8
_SERVICE = 'orders'
_MOST_REPEATS = 2

Place = tuple[int, int]
"""Zone and number of an instance."""

Pattern = Callable[[float, Place], float]
"""A figure by time and instance."""


@dataclass(frozen=True, slots=True)
class Scene:
    """What happens to a fleet."""

    wanted: Pattern
    """Share of the sends after which a repeat is wanted."""

    load: Pattern = lambda now, place: 1
    """Share of the callers that use an instance, in any unit."""

    kills: Callable[[Place], tuple[float, float]] | None = None
    """When an instance is killed and when it starts again."""

    away: Callable[[float, Place], bool] = lambda now, place: False
    """Whether an instance is frozen."""

    cut_off: Callable[[float, Place], bool] = lambda now, place: False
    """Whether an instance hears nobody, and is not heard."""

    swing: Callable[[float], float] = lambda now: 1
    """Factor by which the load of all goes up and down."""

    loss: float = 0
    """Share of the digests that are lost."""


@dataclass(slots=True)
class _Instance:
    who: Incarnation
    budgets: SharedBudgets
    born: float
    digest_at: float
    zone_digest_at: float = 0
    heard: dict[str, float] = field(default_factory=dict)
    was_away: bool = False


_Message = tuple[float, float, Place, Incarnation, str, AdvertisedBudgets]


@dataclass(slots=True)
class BudgetFleet:
    """A fleet, its callers, and what was sent."""

    zones: int
    per_zone: int
    rate: float
    bounds: BudgetBounds
    scene: Scene
    now: float = 0
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    instances: dict[Place, _Instance] = field(default_factory=dict)
    requests: list[float] = field(default_factory=list)
    repeats: list[float] = field(default_factory=list)
    denied: list[float] = field(default_factory=list)
    under_way: list[_Message] = field(default_factory=list)
    lives: int = 0

    def play(self, seconds: float) -> None:
        """Let the fleet know itself for a window, then let callers come."""
        self.now = -self.bounds.window - 2
        for zone in range(self.zones):
            for number in range(self.per_zone):
                self._start((zone, number))
        while self.now < seconds:
            self.now += STEP
            self._end_and_start()
            self._deliver()
            for place, instance in self.instances.items():
                self._tend(place, instance)
            if self.now >= 0:
                self._call()

    def worst(self) -> tuple[float, float]:
        """Most repeats in a window, of what is allowed, and its begin."""
        window = self.bounds.window
        begins = {*self.repeats, *(at - window for at in self.repeats)}
        return max((self._share(begin), begin) for begin in begins)

    def used(self) -> float:
        """Most of what was allowed that was sent while more was wanted."""
        window = self.bounds.window
        wanted = [
            begin
            for begin in self.repeats
            if _count(self.denied, begin, window)
        ]
        return max(map(self._share, wanted))

    def _share(self, begin: float) -> float:
        window = self.bounds.window
        asked = max(
            _count(self.requests, begin - window * part, window)
            for part in (0, 1 / 2, 1)
        )
        allowed = self.bounds.ratio * asked + self.bounds.extra
        return _count(self.repeats, begin, window) / allowed

    def _start(self, place: Place) -> None:
        self.lives += 1
        seed = self.rng.randrange(1 << 30)
        self.instances[place] = _Instance(
            Incarnation(str(place), self.lives),
            SharedBudgets.begin(self.bounds, self.now, seed),
            self.now,
            self.now + self.rng.random() * _DIGEST,
        )

    def _end_and_start(self) -> None:
        if not self.scene.kills:
            return
        for zone in range(self.zones):
            for number in range(self.per_zone):
                place = (zone, number)
                killed, started = self.scene.kills(place)
                if killed <= self.now < started:
                    self.instances.pop(place, None)
                elif self.now >= started and place not in self.instances:
                    self._start(place)

    def _deliver(self) -> None:
        while self.under_way and self.under_way[0][0] <= self.now:
            _, _, place, teller, zone, told = heappop(self.under_way)
            if place in self.instances and self._hears(place):
                instance = self.instances[place]
                instance.heard[zone or teller.label] = self.now
                instance.budgets.receive(teller, told, self.now, zone=zone)

    def _hears(self, place: Place) -> bool:
        scene = self.scene
        return not (
            scene.away(self.now, place) or scene.cut_off(self.now, place)
        )

    def _tend(self, place: Place, instance: _Instance) -> None:
        if self.scene.away(self.now, place):
            instance.was_away = True
            return
        budgets = instance.budgets
        if instance.was_away:
            instance.was_away = False
            budgets.handle_pause(self.now)
        # What the real fleet knows of single instances: zones stand for them.
        heard = instance.heard.values()
        live = sum(self.now - at < _DEAD_AFTER for at in heard)
        size = self.zones * self.per_zone
        known = self.per_zone - 1 + self.zones - 1
        budgets.set_fleet_size(
            1 + round(live * (size - 1) / max(1, known)), size
        )
        if round(self.now / STEP) % 2:
            budgets.maintain(self.now)
        if self._hears(place) and self.now >= instance.digest_at:
            instance.digest_at = self.now + _DIGEST
            self._tell(place, instance)

    def _tell(self, place: Place, instance: _Instance) -> None:
        zone = place[0]
        told = instance.budgets.advertise(self.now)
        for other in self.instances:
            if other[0] == zone and other != place:
                self._post(other, instance.who, '', told, _NEAR)
        if place != self._speaker(zone):
            return
        if self.now < instance.zone_digest_at:
            return
        instance.zone_digest_at = self.now + _ZONE_DIGEST
        told = instance.budgets.advertise_zone(self.now)
        for other_zone in range(self.zones):
            if other_zone == zone or self.rng.random() < self.scene.loss:
                continue
            for other in self.instances:
                if other[0] == other_zone:
                    first = other == self._speaker(other_zone)
                    way = _FAR if first else _PASSED_ON
                    self._post(other, instance.who, f'{zone}', told, way)

    def _speaker(self, zone: int) -> Place | None:
        settled = [
            place
            for place, instance in self.instances.items()
            if place[0] == zone
            and self.now - instance.born > _SETTLING
            and self._hears(place)
        ]
        return min(settled, default=None)

    def _post(
        self,
        place: Place,
        who: Incarnation,
        zone: str,
        told: AdvertisedBudgets,
        way: float,
    ) -> None:
        if self.rng.random() >= self.scene.loss:
            number = len(self.under_way) + self.rng.random()
            message = (self.now + way, number, place, who, zone, told)
            heappush(self.under_way, message)

    def _call(self) -> None:
        count = self.rate * STEP * self.scene.swing(self.now)
        whole = int(count) + (self.rng.random() < math.modf(count)[0])
        places = list(self.instances)
        weights = [self.scene.load(self.now, place) for place in places]
        if not sum(weights):
            return
        for place in self.rng.choices(places, weights, k=whole):
            self.requests.append(self.now)
            if not self.scene.away(self.now, place):
                self._serve(place, self.instances[place])

    def _serve(self, place: Place, instance: _Instance) -> None:
        instance.budgets.record_request(_SERVICE, self.now)
        for _ in range(_MOST_REPEATS):
            if self.rng.random() >= self.scene.wanted(self.now, place):
                return
            settled = self.now - instance.born > _SETTLING
            if not settled or not instance.budgets.spend(_SERVICE, self.now):
                self.denied.append(self.now)
                return
            self.repeats.append(self.now)


def _count(times: list[float], begin: float, window: float) -> int:
    return bisect_left(times, begin + window) - bisect_left(times, begin)
