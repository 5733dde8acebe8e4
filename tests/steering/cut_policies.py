"""Compares what entries without links to upstreams may do for callers.

``python -m tests.steering.cut_policies`` plays the same cuts under each policy
and prints the share of first tries that are served at the entries that are cut
off and at the others, and the load on the latter.
"""

import random
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from unittest import mock

from tests.steering.cut_world import Ask, Cut, CutWorld
from tests.steering.fleet_world import STEP

_CUT_S = 13.0
_STABLE_S = 4.0
_ZONES = {'a1': 2, 'a2': 1, 'b1': 2, 'b2': 1, 'c1': 2, 'c2': 1}
# Callers keep a look-up for so many seconds, some of them three times as long.
_LOOK_UP_S = 1.5
_LONG_SHARE = 1 / 3
_CALLERS_PER_ZONE = 12


@dataclass(slots=True)
class _Looker:
    zone: str
    age: float
    entries: list[str] = field(default_factory=list)
    looked_at: float = -100.0


class LookUpWorld(CutWorld):
    """Callers of each zone use the entries that look-ups name."""

    lookers: tuple[_Looker, ...] = ()

    def _send_due_requests(self) -> None:
        if not self.lookers:
            rng = random.Random(7)
            self.lookers = tuple(
                _Looker(
                    zone, _LOOK_UP_S * (3 if rng.random() < _LONG_SHARE else 1)
                )
                for zone in sorted(self.regions)
                for _ in range(_CALLERS_PER_ZONE)
            )
        self.due += self.rate * STEP * len(self.states)
        while self.due >= 1:
            self.due -= 1
            looker = self.caller_rng.choice(self.lookers)
            if self.now - looker.looked_at > looker.age:
                asked = self.caller_rng.choice(sorted(self.states))
                found = sorted(self.looked_up(asked, looker.zone))
                looker.entries = found or looker.entries
                looker.looked_at = self.now
            if looker.entries:
                self._send_request(self.caller_rng.choice(looker.entries))


def _never(*_: object) -> bool:
    return False


def _same(contacts: list[object]) -> list[object]:
    return contacts


@contextmanager
def _patched(**changes: object) -> Iterator[None]:
    places = {
        'send': 'worksrail.core.steering._placing.cannot_send',
        'entry': 'worksrail.core.steering._placing.choose_entry',
        'names': 'worksrail.core.steering._directory._without_isolated',
    }
    with ExitStack() as stack:
        for name, change in changes.items():
            stack.enter_context(mock.patch(places[name], change))
        yield


_POLICIES: dict[str, dict[str, object]] = {
    'direct only': {'send': _never, 'names': _same},
    'look-ups leave out': {'send': _never},
    'pass on': {'names': _same},
    'both': {},
}
_CUTS: dict[str, Callable[[CutWorld], list[str]]] = {
    'one': lambda world: sorted(world.states)[:1],
    'a third': lambda world: sorted(world.states)[::3],
    'a zone': lambda world: [one for one in world.states if one[:2] == 'a1'],
    'a region': lambda world: [one for one in world.states if one[0] == 'a'],
    'all but one': lambda world: sorted(world.states)[1:],
}


def _play(form: Cut, cut: str, rate: float, seed: int) -> str:
    world = LookUpWorld(_ZONES, rate, upstreams=24, seed=seed)
    world.wait(3)
    names = _CUTS[cut](world)
    begin = world.now
    world.cut(names, form)
    world.wait(_CUT_S)
    until = world.now
    world.mend()
    world.wait(4)

    def there(one: Ask) -> bool:
        return one.entry in names

    def elsewhere(one: Ask) -> bool:
        return one.entry not in names

    outcomes = world.outcomes
    since = begin + _STABLE_S
    sent = [one for one in outcomes.asked if since <= one.at < until]
    waits = sorted(
        outcomes.served_at[one.trace] - one.at
        for one in sent
        if there(one) and one.trace in outcomes.served_at
    )
    median = waits[len(waits) // 2] if waits else float('nan')
    carried = sum(
        world.passed[name] for name in world.states if name not in names
    )
    return (
        f'{outcomes.share(since, until, there):.3f} of {sum(map(there, sent)):4}, '
        f'others {outcomes.share(since, until, elsewhere):.3f} of '
        f'{sum(map(elsewhere, sent)):4}; first 4 s '
        f'{outcomes.share(begin, since, there):.3f}; half within {median:.2f} s; '
        f'passed on {carried}'
    )


def main(rate: float = 20, seed: int = 1) -> None:
    """Play all cuts under all policies."""
    for form in Cut:
        for cut in _CUTS:
            for name, changes in _POLICIES.items():
                with _patched(**changes):
                    print(
                        f'{form.name:10} {cut:11} {name:18}',
                        _play(form, cut, rate, seed),
                        flush=True,
                    )


if __name__ == '__main__':
    main()
