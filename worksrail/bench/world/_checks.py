"""The promises, checked while a world runs."""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.bundle import CompiledService, ShiftCap

_SECOND: Final = 1.0
# Entries count by windows that are longer by the slack of a start.
_IDLE: Final = 2.2
_ROUNDING: Final = 1e-9
_Pair = tuple[str, str, str]


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise."""

    at: float
    """When."""

    promise: str
    """Which."""

    detail: str
    """What was seen."""


@dataclass(slots=True)
class Watch:
    """Counts what the promises bound, and records what exceeds it."""

    violations: list[Violation] = field(default_factory=list)
    """Broken promises."""

    flights: dict[_Pair, int] = field(default_factory=dict)
    """Shifted requests in flight by service, source and target."""

    starts: dict[_Pair, deque[float]] = field(default_factory=dict)
    """Times of shifted starts in the last two seconds."""

    risen_since: dict[_Pair, float] = field(default_factory=dict)
    """When shifted traffic last began from nothing."""

    highest_slot: float = 0
    """Highest occupation of an upstream over its slots."""

    highest_flight: float = 0
    """Highest shifted in flight over its cap."""

    highest_rate: float = 0
    """Highest shifted starts within a second over the cap."""

    highest_region: float = 0
    """Highest use of a region over its headroom's bound at such a start."""

    generations: dict[str, tuple[int, int]] = field(default_factory=dict)
    """Incarnation and generation of each instance."""

    digests: dict[int, str] = field(default_factory=dict)
    """Digest of each generation."""

    def occupation(self, now: float, name: str, count: int, slots: int) -> None:
        """Check an upstream's occupation."""
        self.highest_slot = max(self.highest_slot, count / slots)
        if count > slots:
            self._broken(now, 'slots', f'{name}: {count} of {slots}')

    def shifted_start(
        self,
        now: float,
        pair: _Pair,
        view: CompiledService,
        caps_before: ShiftCap | None = None,
    ) -> None:
        """Check a request that starts away from home."""
        cap = view.caps.get(pair[1:]) or caps_before
        if cap is None:
            self._broken(now, 'caps', f'{pair}: no cap allows it')
            return
        flight = self.flights.get(pair, 0) + 1
        self.flights[pair] = flight
        self.highest_flight = max(self.highest_flight, flight / cap.in_flight)
        if flight > cap.in_flight:
            self._broken(now, 'caps', f'{pair}: {flight} in flight')
        self._check_rate(now, pair, cap)

    def _check_rate(self, now: float, pair: _Pair, cap: ShiftCap) -> None:
        times = self.starts.setdefault(pair, deque())
        if not times or now - times[-1] > _IDLE:
            # From nothing, the rate may rise by so much each second.
            self.risen_since[pair] = now
            times.clear()
        times.append(now)
        while times[0] <= now - _SECOND + _ROUNDING:
            times.popleft()
        recent = len(times)
        self.highest_rate = max(self.highest_rate, recent / cap.rate)
        if recent > cap.rate:
            self._broken(now, 'caps', f'{pair}: {recent} starts in a second')
        seconds = int(now - self.risen_since[pair] + _ROUNDING) + 1
        if recent > cap.rise * seconds:
            self._broken(now, 'caps', f'{pair}: {recent} in second {seconds}')

    def shifted_end(self, pair: _Pair) -> None:
        """Count the end of a request away from home."""
        self.flights[pair] -= 1

    def applied(
        self,
        now: float,
        name: str,
        incarnation: int,
        generation: int,
        digest: str,
    ) -> None:
        """Check that no generation goes back or changes its bundle."""
        last = self.generations.get(name)
        if last and last[0] == incarnation and generation < last[1]:
            self._broken(now, 'generations', f'{name} went back')
        self.generations[name] = (incarnation, generation)
        known = self.digests.setdefault(generation, digest)
        if known != digest:
            self._broken(now, 'generations', f'{generation} has two bundles')

    def late_work(self, now: float, name: str, since: float) -> None:
        """Record new work at an upstream that is drained."""
        self._broken(now, 'drains', f'{name}: work {now - since:.2f} s after')

    def headroom(
        self,
        now: float,
        service: str,
        region: str,
        bound: int,
    ) -> None:
        """Check that shifted work leaves the headroom to the region."""
        shifted = sum(
            count
            for (one, _, target), count in self.flights.items()
            if one == service and target == region
        )
        if shifted > bound:
            self._broken(now, 'headroom', f'{region}: {shifted} over {bound}')

    def region_use(self, used: int, bound: int) -> None:
        """Record the slots in use of a region as shifted work starts."""
        self.highest_region = max(self.highest_region, used / bound)

    def _broken(self, now: float, promise: str, detail: str) -> None:
        self.violations.append(Violation(round(now, 4), promise, detail))
