"""What the effects of an instance touch of a world."""

from collections.abc import Callable
from typing import Protocol

from worksrail.bench.world._checks import Watch
from worksrail.bench.world._clock import VirtualClock
from worksrail.bench.world._network import NetworkFaults
from worksrail.bench.world._plan import WorldPlan
from worksrail.bench.world._process import FakeProcess, Reply
from worksrail.bench.world._requests import RequestLog
from worksrail.bench.world._store import FakeStore
from worksrail.bench.world._upstreams import FakeUpstream
from worksrail.core.events import Event
from worksrail.core.requests import RequestHead


class EffectWorld(Protocol):
    """What effects touch of a world."""

    @property
    def plan(self) -> WorldPlan:
        """What it was made from."""

    @property
    def clock(self) -> VirtualClock:
        """Virtual time."""

    @property
    def network(self) -> NetworkFaults:
        """What happens to messages."""

    @property
    def store(self) -> FakeStore:
        """The platform's store."""

    @property
    def upstreams(self) -> dict[str, FakeUpstream]:
        """Upstreams by name."""

    @property
    def crashing(self) -> set[str]:
        """Paths of requests under which upstreams crash."""

    @property
    def processes(self) -> dict[str, FakeProcess]:
        """Processes by the name of their instance."""

    @property
    def watch(self) -> Watch:
        """Checks of the promises."""

    @property
    def log(self) -> RequestLog:
        """What became of requests."""

    def deliver(
        self,
        process: FakeProcess,
        make: Callable[[float], Event],
    ) -> None:
        """Hand an event to a process, when it is able to take it."""

    def fetched(
        self,
        process: FakeProcess,
        generation: int,
        digest: str,
    ) -> None:
        """Hand a fetched bundle to a process."""

    def arrive_at(
        self,
        process: FakeProcess,
        head: RequestHead,
        reply: Reply,
    ) -> int:
        """Hand a request to a process; gives its number there."""
