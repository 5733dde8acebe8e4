"""A fleet whose entries have to find each other, and a customer over its quota.

Seeds may be out of date, entries may be cut off from each other, and settings
are reloaded.  Requests are counted where a quota is counted: when an entry
sends them to an upstream.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from tests.steering.fleet_world import STEP, FleetWorld
from tests.steering.world import HOST, customer, of_type, upstream
from worksrail.core.customers import Quota, digest_of_key
from worksrail.core.limits import QuotaBounds
from worksrail.core.steering import SteeringBounds
from worksrail.core.steering.effects import (
    AnswerResult,
    Effect,
    ReadEntryAddresses,
    SendUpstream,
    WriteEntryAddresses,
)
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    EntryAddressesRead,
    RequestArrived,
    SettingsReloaded,
    SteeredHead,
)

QUOTA = Quota(40, 20)
BOUNDS = QuotaBounds(window=5, overage=0.1, slack=20)
ALLOWED = (QUOTA.rate * BOUNDS.window + QUOTA.burst) * (
    1 + BOUNDS.overage
) + BOUNDS.slack
"""Requests of the customer that may be sent within a window."""

_KEY = 'key of mill'
_UPSTREAMS = tuple(upstream(str(number), slots=200) for number in range(1, 5))


class MembershipWorld(FleetWorld):
    """Entries that know different seeds, in parts that are cut off."""

    bounds = SteeringBounds(quota=BOUNDS)
    customers = (customer('mill', _KEY, quota=QUOTA),)

    def __init__(self, zones: dict[str, int], regions: dict[str, str]) -> None:
        """Start a number of entries in each zone."""
        self.parts: list[set[str]] = []
        self.records: dict[str, tuple[str, ...]] = {}
        self.store_answers = True
        self.record_calls: Counter[str] = Counter()
        self.sent_at: list[float] = []
        self.asked = 0
        self.open: list[tuple[str, SendUpstream]] = []
        super().__init__(zones, regions)

    # -- membership

    def start_with_seeds(self, name: str, seeds: Iterable[str]) -> None:
        """Start an entry with other seeds than the first entries."""
        before, self.seeds = self.seeds, tuple(seeds)
        self.start(name)
        self.seeds = before

    def start(self, name: str) -> None:
        """Start or restart an entry, which reads the store at once."""
        super().start(name)
        self.deliver_store(name, 1, _UPSTREAMS)

    def reload(self, name: str, seeds: Iterable[str]) -> None:
        """Replace the seeds of an entry's settings while it runs."""
        changed = replace(self.states[name].settings, seeds=tuple(seeds))
        self._run(name, SettingsReloaded(self.now, changed))

    def part(self, *parts: Iterable[str]) -> None:
        """Lose all messages between parts of the fleet; none heals it."""
        self.parts = [set(names) for names in parts]

    def is_one_fleet(self) -> bool:
        """Return whether each entry considers all others alive."""
        names = set(self.states)
        return all(self.alive_entries(name) == names - {name} for name in names)

    def seconds_until_one_fleet(self, maximum: float) -> float:
        """Advance the clock until all know all; infinite if they never do."""
        began = self.now
        while not self.is_one_fleet():
            if self.now - began > maximum:
                return float('inf')
            self.wait(STEP)
        return self.now - began

    # -- requests

    def ask(self, names: Iterable[str], rate: float, seconds: float) -> None:
        """Let the customer send requests to each of some entries."""
        due = dict.fromkeys(names, 0.0)
        end = self.now + seconds
        while self.now < end:
            for name in due:
                due[name] += rate * STEP
                while due[name] >= 1:
                    due[name] -= 1
                    self._ask(name)
            self.wait(STEP)
            self._answer_all()

    def most_in_window(self, since: float = 0) -> int:
        """Return the most requests sent within one window of the quota."""
        times = [at for at in self.sent_at if at >= since]
        return max(
            (
                sum(first <= at <= first + BOUNDS.window for at in times)
                for first in set(times)
            ),
            default=0,
        )

    def _ask(self, name: str) -> None:
        self.asked += 1
        head = SteeredHead(
            f't{self.asked}',
            HOST,
            'GET',
            '/read/x',
            2.0,
            '',
            digest_of_key(_KEY.encode()),
        )
        self._run(name, RequestArrived(self.now, self.asked, head))

    def _answer_all(self) -> None:
        ended, self.open = self.open, []
        for name, sent in ended:
            if name in self.states:
                self._run(
                    name,
                    AttemptEnded(
                        self.now,
                        sent.request,
                        sent.attempt,
                        AttemptOutcome.ANSWERED,
                        200,
                    ),
                )

    def _perform(self, name: str, effects: list[Effect]) -> None:
        super()._perform(name, effects)
        for sent in of_type(effects, SendUpstream):
            self.sent_at.append(self.now)
            self.open.append((name, sent))
        if of_type(effects, ReadEntryAddresses):
            self.record_calls['read'] += 1
            found = dict(self.records) if self.store_answers else None
            self._run(name, EntryAddressesRead(self.now, found))
        for written in of_type(effects, WriteEntryAddresses):
            self.record_calls['write'] += 1
            if self.store_answers:
                self.records[written.zone] = written.addresses
        self.results: Counter[str] = getattr(self, 'results', Counter())
        self.results.update(
            answer.code.name for answer in of_type(effects, AnswerResult)
        )

    def _post(self, name: str, receiver: str, message: object) -> None:
        to = receiver.partition(':')[0]
        if any((name in part) != (to in part) for part in self.parts):
            return
        super()._post(name, receiver, message)  # type: ignore[arg-type]
