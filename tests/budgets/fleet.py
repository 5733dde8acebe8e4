"""Simulates instances that share a retry budget and exchange digests.

It simulates only the budgets, since reducers are too slow for a fleet at full
load.  Instances of a zone send digests to each other, and a relay sends those
of its zone to the other zones.  Instances that do not know all users of the
budget ask others, also of other zones, and are told everything.
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
# Seconds from the start of an instance until it is ready to be a relay, and
# until it retries requests.
_LOADING = 0.15
_SETTLING = 0.5
# Instances of other zones that an uninformed one asks with each digest.
_ASKED = 2
# Seconds that a digest takes within a zone, to the relay of another zone, and
# to the instances behind that relay.
_ZONE_DELAY, _RELAY_DELAY, _FORWARDED_DELAY = 0.02, 0.07, 0.13
# Seconds without a digest after which an instance is considered dead.
_DEAD_AFTER = 1.8
_SERVICE = 'orders'
_MAX_RETRIES = 2

Place = tuple[int, int]
"""Zone and number of an instance."""

Pattern = Callable[[float, Place], float]
"""A value by time and instance."""


@dataclass(frozen=True, slots=True)
class Scene:
    """Load and faults of a fleet."""

    retry_share: Pattern
    """Share of the attempts after which a retry is needed."""

    load: Pattern = lambda now, place: 1
    """Relative share of the callers that use an instance."""

    kills: Callable[[Place], tuple[float, float]] | None = None
    """When an instance is killed and when it is restarted."""

    frozen: Callable[[float, Place], bool] = lambda now, place: False
    """Whether an instance is frozen."""

    cut_off: Callable[[float, Place], bool] = lambda now, place: False
    """Whether an instance neither sends nor receives digests."""

    load_factor: Callable[[float], float] = lambda now: 1
    """Factor of the total load."""

    loss: float = 0
    """Share of digests that are lost."""


@dataclass(slots=True)
class _Instance:
    who: Incarnation
    budgets: SharedBudgets
    born: float
    digest_at: float
    zone_digest_at: float = 0
    received: dict[str, float] = field(default_factory=dict)
    replies: set[Place] = field(default_factory=set)
    was_frozen: bool = False


@dataclass(frozen=True, slots=True)
class _Message:
    sender: Place
    who: Incarnation
    advertised: AdvertisedBudgets
    of_zone: bool = False


_InTransit = tuple[float, float, Place, _Message]


@dataclass(slots=True)
class BudgetFleet:
    """A fleet, its callers, and the requests and retries sent."""

    zones: int
    per_zone: int
    rate: float
    bounds: BudgetBounds
    scene: Scene
    now: float = 0
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    instances: dict[Place, _Instance] = field(default_factory=dict)
    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)
    denied: list[float] = field(default_factory=list)
    in_transit: list[_InTransit] = field(default_factory=list)
    incarnations: int = 0

    def play(self, seconds: float) -> None:
        """Run the fleet without load for a window, then with its callers."""
        self.now = -self.bounds.window - 2
        for zone in range(self.zones):
            for number in range(self.per_zone):
                self._start((zone, number))
        while self.now < seconds:
            self.now += STEP
            self._apply_kills()
            self._deliver()
            for place, instance in self.instances.items():
                self._maintain(place, instance)
            if self.now >= 0:
                self._generate_load()

    def max_use(self) -> tuple[float, float]:
        """Return the maximum use of any window, and the window's start."""
        window = self.bounds.window
        begins = {*self.retries, *(at - window for at in self.retries)}
        return max((self._share(begin), begin) for begin in begins)

    def max_use_when_denied(self) -> float:
        """Return the maximum use of windows in which retries were denied."""
        window = self.bounds.window
        constrained = [
            begin
            for begin in self.retries
            if _count(self.denied, begin, window)
        ]
        return max(map(self._share, constrained))

    def _share(self, begin: float) -> float:
        window = self.bounds.window
        asked = max(
            _count(self.requests, begin - window * part, window)
            for part in (0, 1 / 2, 1)
        )
        allowed = self.bounds.ratio * asked + self.bounds.extra
        return _count(self.retries, begin, window) / allowed

    def _start(self, place: Place) -> None:
        self.incarnations += 1
        seed = self.rng.randrange(1 << 30)
        who = Incarnation(str(place), self.incarnations)
        self.instances[place] = _Instance(
            who,
            SharedBudgets.begin(
                self.bounds, self.now, seed, who, f'{place[0]}'
            ),
            self.now,
            self.now + self.rng.random() * _DIGEST,
        )

    def _apply_kills(self) -> None:
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
        while self.in_transit and self.in_transit[0][0] <= self.now:
            _, _, place, message = heappop(self.in_transit)
            if place in self.instances and self._is_connected(place):
                self._receive(place, message)

    def _receive(self, place: Place, message: _Message) -> None:
        instance = self.instances[place]
        budgets, advertised = instance.budgets, message.advertised
        zone = str(message.sender[0])
        if message.of_zone:
            instance.received[zone] = self.now
            budgets.receive(message.who, advertised, self.now, zone=zone)
            return
        if message.sender[0] == place[0]:
            instance.received[message.who.label] = self.now
            budgets.receive(message.who, advertised, self.now)
        else:
            budgets.receive_from_afar(advertised, self.now)
        if advertised.coverage < self.bounds.window:
            instance.replies.add(message.sender)

    def _is_connected(self, place: Place) -> bool:
        scene = self.scene
        return not (
            scene.frozen(self.now, place) or scene.cut_off(self.now, place)
        )

    def _maintain(self, place: Place, instance: _Instance) -> None:
        if self.scene.frozen(self.now, place):
            instance.was_frozen = True
            return
        budgets = instance.budgets
        if instance.was_frozen:
            instance.was_frozen = False
            budgets.handle_pause(self.now)
        # The real fleet knows single instances; here each other zone counts as
        # one sender and is scaled up.
        received = instance.received.values()
        live = sum(self.now - at < _DEAD_AFTER for at in received)
        size = self.zones * self.per_zone
        known = self.per_zone - 1 + self.zones - 1
        budgets.set_fleet_size(
            1 + round(live * (size - 1) / max(1, known)), size
        )
        if round(self.now / STEP) % 2:
            budgets.maintain(self.now)
        if self._is_connected(place) and self.now >= instance.digest_at:
            instance.digest_at = self.now + _DIGEST
            self._send_digests(place, instance)

    def _send_digests(self, place: Place, instance: _Instance) -> None:
        told_all, instance.replies = instance.replies, set()
        if told_all:
            everything = instance.budgets.advertise(self.now, with_all=True)
            for other in told_all:
                self._send(other, _Message(place, instance.who, everything))
        advertised = instance.budgets.advertise(self.now)
        message = _Message(place, instance.who, advertised)
        for other in self._digest_receivers(place, instance) - told_all:
            self._send(other, message)
        is_due = self.now >= instance.zone_digest_at
        if is_due and place == self._relay(place[0]):
            instance.zone_digest_at = self.now + _ZONE_DIGEST
            self._send_zone_digest(place, instance)

    def _digest_receivers(
        self, place: Place, instance: _Instance
    ) -> set[Place]:
        receivers = {
            other
            for other in self.instances
            if other[0] == place[0] and other != place
        }
        if not instance.budgets.is_informed(self.now):
            remote = [one for one in self.instances if one[0] != place[0]]
            receivers.update(self.rng.sample(remote, min(_ASKED, len(remote))))
        return receivers

    def _send_zone_digest(self, place: Place, instance: _Instance) -> None:
        zone = place[0]
        advertised = instance.budgets.advertise_zone(self.now)
        message = _Message(place, instance.who, advertised, of_zone=True)
        for other_zone in range(self.zones):
            if other_zone == zone or self.rng.random() < self.scene.loss:
                continue
            for other in self.instances:
                if other[0] == other_zone:
                    is_relay = other == self._relay(other_zone)
                    delay = _RELAY_DELAY if is_relay else _FORWARDED_DELAY
                    self._send(other, message, delay)

    def _relay(self, zone: int) -> Place | None:
        """Return the relay: of those that know their zone, if any does."""
        ready = [
            (instance.budgets.is_starting(self.now), place)
            for place, instance in self.instances.items()
            if place[0] == zone
            and self.now - instance.born > _LOADING
            and self._is_connected(place)
        ]
        return min(ready)[1] if ready else None

    def _send(
        self, place: Place, message: _Message, delay: float = _ZONE_DELAY
    ) -> None:
        if self.rng.random() >= self.scene.loss:
            number = len(self.in_transit) + self.rng.random()
            heappush(
                self.in_transit, (self.now + delay, number, place, message)
            )

    def _generate_load(self) -> None:
        count = self.rate * STEP * self.scene.load_factor(self.now)
        whole = int(count) + (self.rng.random() < math.modf(count)[0])
        places = list(self.instances)
        weights = [self.scene.load(self.now, place) for place in places]
        if not sum(weights):
            return
        for place in self.rng.choices(places, weights, k=whole):
            self.requests.append(self.now)
            if not self.scene.frozen(self.now, place):
                self._serve(place, self.instances[place])

    def _serve(self, place: Place, instance: _Instance) -> None:
        instance.budgets.record_request(_SERVICE, self.now)
        for _ in range(_MAX_RETRIES):
            if self.rng.random() >= self.scene.retry_share(self.now, place):
                return
            settled = self.now - instance.born > _SETTLING
            if not settled or not instance.budgets.spend(_SERVICE, self.now):
                self.denied.append(self.now)
                return
            self.retries.append(self.now)


def _count(times: list[float], begin: float, window: float) -> int:
    return bisect_left(times, begin + window) - bisect_left(times, begin)
