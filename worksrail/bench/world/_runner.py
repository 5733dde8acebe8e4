"""Runs effects in a world."""

import math
from collections.abc import Callable
from typing import Any, Final

from worksrail.bench.world._effect_world import EffectWorld
from worksrail.bench.world._process import Exchange, FakeProcess
from worksrail.core.bundle import Topology
from worksrail.core.effects import (
    AnswerResult,
    CancelRequest,
    Effect,
    ExitProcess,
    FetchBundle,
    Note,
    PassRequest,
    SendMessage,
    SendUpstream,
    WriteSeatTable,
)
from worksrail.core.events import (
    AttemptEnded,
    AttemptOutcome,
    BundleFetchFailed,
    MessageReceived,
    NoticeReceived,
    PassEnded,
    SeatTableWritten,
    WriteOutcome,
)
from worksrail.core.messages import AnyMessage
from worksrail.core.requests import ArrivalPath, RequestHead
from worksrail.core.results import ResultCode

_WRITE_DELAY: Final = 0.0005
_STORE_DELAY: Final = 0.005
_CONNECT_TIMEOUT: Final = 1.0
# Ends of an attempt whose answer has a head.
_ANSWERS: Final = frozenset((AttemptOutcome.ANSWERED, AttemptOutcome.SHED))


class EffectRunner:
    """Runs each kind of effect with the fakes of a world."""

    def __init__(self, world: EffectWorld) -> None:
        """Run effects in a world."""
        self.world = world
        self.runners: dict[type, Callable[[FakeProcess, Any], None]] = {
            SendMessage: self._message,
            SendUpstream: self._upstream,
            PassRequest: self._pass,
            AnswerResult: self._answer,
            CancelRequest: self._cancel,
            FetchBundle: self._fetch,
            WriteSeatTable: self._write_seats,
            ExitProcess: self._exit,
        }
        self.notes: list[tuple[float, str, Note]] = []

    def run(self, process: FakeProcess, effect: Effect) -> None:
        """Run an effect of a process."""
        if isinstance(effect, Note):
            if not effect.request:
                self.notes.append((self.world.clock.now, process.name, effect))
            return
        runner = self.runners.get(type(effect))
        if runner:
            runner(process, effect)

    def send(
        self,
        process: FakeProcess,
        receiver: str,
        message: AnyMessage,
    ) -> None:
        """Send a message over the fake network."""
        process.messages += 1
        target = self.world.processes.get(receiver)
        if target is None or target.dead:
            return
        network = self.world.network
        if network.is_cut(process.places, target.places):
            return
        same = process.place.region == target.place.region
        sender = process.instance.who
        for delay in network.delays(same_region=same):
            self.world.clock.after(
                delay,
                lambda: self.world.deliver(
                    target,
                    lambda now: MessageReceived(now, sender, message),
                ),
            )

    # -- messages and store

    def _message(self, process: FakeProcess, effect: SendMessage) -> None:
        self.send(process, effect.receiver, effect.message)

    def _fetch(self, process: FakeProcess, effect: FetchBundle) -> None:
        self.world.clock.after(
            2 * self.world.network.near,
            lambda: self._fetched(process, effect),
        )

    def _fetched(self, process: FakeProcess, effect: FetchBundle) -> None:
        world = self.world
        holders = [
            world.processes[name]
            for name in effect.peers
            if name in world.processes
        ]
        from_peer = any(
            effect.digest in holder.bundles
            and not holder.dead
            and not holder.paused
            and not world.network.is_cut(process.places, holder.places)
            for holder in holders
        )
        if from_peer or world.store.reaches(process.places):
            world.fetched(process, effect.generation, effect.digest)
        else:
            world.deliver(
                process, lambda now: BundleFetchFailed(now, effect.generation)
            )

    def _write_seats(
        self,
        process: FakeProcess,
        effect: WriteSeatTable,
    ) -> None:
        self.world.clock.after(
            _STORE_DELAY, lambda: self._written(process, effect)
        )

    def _written(self, process: FakeProcess, effect: WriteSeatTable) -> None:
        store = self.world.store
        outcome, version = WriteOutcome.UNKNOWN, 0
        if store.reaches(process.places):
            outcome, version = store.write_table(effect.expected, effect.table)
        done = outcome is WriteOutcome.DONE
        table = effect.table if done else None
        self.world.deliver(
            process, lambda now: SeatTableWritten(now, outcome, version, table)
        )

    def _exit(self, process: FakeProcess, effect: ExitProcess) -> None:
        self.world.log.cut_by_stop += len(process.exchanges)
        process.dead = True
        process.exited = True
        self.world.store.listed.pop(process.name, None)

    # -- requests

    def _upstream(self, process: FakeProcess, effect: SendUpstream) -> None:
        self._when_running(
            process, _WRITE_DELAY, lambda: self._write(process, effect)
        )

    def _write(self, process: FakeProcess, effect: SendUpstream) -> None:
        world = self.world
        exchange = process.exchanges.get(effect.request)
        if exchange is None or process.dead:
            return
        if world.clock.now >= effect.not_after:
            self._attempt_ended(process, effect, AttemptOutcome.NOT_SENT)
            return
        failing = world.network.without_upstreams.get(process.name)
        if failing is not None:
            world.clock.after(
                failing,
                lambda: self._attempt_ended(
                    process, effect, AttemptOutcome.NOT_SENT
                ),
            )
            return
        upstream = world.upstreams[effect.upstream]
        if not upstream.down and not upstream.shed:
            world.log.executed(exchange.trace)
            self._check_shift(process, exchange, effect)
        exchange.upstream = upstream
        head = process.instance.requests[effect.request].head
        exchange.execution = upstream.take(
            lambda outcome: self._attempt_ended(process, effect, outcome),
            crashes=head.path in world.crashing,
        )
        occupied = upstream.in_flight + len(upstream.waiting)
        world.watch.occupation(
            world.clock.now, effect.upstream, occupied, upstream.upstream.slots
        )
        world.clock.at(
            effect.deadline,
            lambda: self._deadline(process, exchange, effect),
        )

    def _attempt_ended(
        self,
        process: FakeProcess,
        effect: SendUpstream,
        outcome: AttemptOutcome,
    ) -> None:
        exchange = process.exchanges.get(effect.request)
        if exchange is None:
            return
        if exchange.on_end:
            exchange.on_end()
            exchange.on_end = None
        upstream = self.world.upstreams[effect.upstream]
        load = upstream.load()
        named = upstream.named_limit() if outcome in _ANSWERS else None
        notice = upstream.notice(outcome)
        if outcome in _ANSWERS and not notice.is_empty:
            self.world.deliver(
                process,
                lambda now: NoticeReceived(now, effect.request, notice),
            )
        if outcome is AttemptOutcome.ANSWERED:
            exchange.reply(ResultCode.OK, 0)
        exchange.execution = None
        self.world.deliver(
            process,
            lambda now: AttemptEnded(
                now, effect.request, outcome, load, limit=named
            ),
        )
        self._forget(process, effect.request)

    def _deadline(
        self,
        process: FakeProcess,
        exchange: Exchange,
        effect: SendUpstream,
    ) -> None:
        execution = exchange.execution
        if execution is None or execution.over or process.dead:
            return
        if exchange.upstream is None:
            return
        if process.paused:
            # It notices when it runs again.
            self.world.clock.after(
                self.world.plan.tick,
                lambda: self._deadline(process, exchange, effect),
            )
            return
        exchange.upstream.cancel(execution)
        self._attempt_ended(process, effect, AttemptOutcome.TIMED_OUT)

    def _cancel(self, process: FakeProcess, effect: CancelRequest) -> None:
        exchange = process.exchanges.get(effect.request)
        if exchange is None or exchange.execution is None:
            return
        if exchange.upstream:
            exchange.upstream.cancel(exchange.execution)
        if exchange.on_end:
            exchange.on_end()
            exchange.on_end = None
        self.world.deliver(
            process,
            lambda now: AttemptEnded(
                now, effect.request, AttemptOutcome.CANCELLED
            ),
        )
        self._forget(process, effect.request)

    def _pass(self, process: FakeProcess, effect: PassRequest) -> None:
        world = self.world
        exchange = process.exchanges[effect.request]
        target = world.processes.get(effect.receiver)
        reachable = (
            target is not None
            and not target.dead
            and not world.network.is_cut(process.places, target.places)
        )
        same = target is not None and (
            process.place.region == target.place.region
        )
        delay = world.network.near if same else world.network.far
        if target is None or not reachable:
            self._later_pass_end(
                process, effect, ResultCode.PEER_UNREACHABLE, delay
            )
            return
        active = process.instance.requests[effect.request]
        passing = (
            ArrivalPath.TO_OWNER if effect.to_owner else ArrivalPath.SHIFTED
        )
        head = RequestHead(
            active.head.trace,
            active.head.host,
            active.head.method,
            active.head.path,
            active.head.client,
            effect.deadline - world.clock.now,
            active.head.ticket,
            active.head.key,
            passing,
            effect.home,
        )

        def arrive() -> None:
            if target.dead:
                self._pass_ended(process, effect, ResultCode.PEER_BROKE, 0)
                return
            number = world.arrive_at(target, head, answered)
            exchange.passed = (target, number)

        def answered(code: ResultCode, retry_after: float) -> None:
            if world.network.is_cut(process.places, target.places):
                code = ResultCode.PEER_BROKE
            world.clock.after(
                delay,
                lambda: self._pass_ended(process, effect, code, retry_after),
            )

        world.clock.after(delay, arrive)
        world.clock.at(
            effect.deadline + delay,
            lambda: self._pass_ended(
                process, effect, ResultCode.UPSTREAM_TIMEOUT, 0
            ),
        )

    def _later_pass_end(
        self,
        process: FakeProcess,
        effect: PassRequest,
        code: ResultCode,
        delay: float,
    ) -> None:
        self.world.clock.after(
            delay, lambda: self._pass_ended(process, effect, code, 0)
        )

    def _pass_ended(
        self,
        process: FakeProcess,
        effect: PassRequest,
        code: ResultCode,
        retry_after: float,
    ) -> None:
        exchange = process.exchanges.get(effect.request)
        if exchange is None or process.dead:
            return
        if code is ResultCode.OK:
            exchange.reply(ResultCode.OK, 0)
        self.world.deliver(
            process,
            lambda now: PassEnded(now, effect.request, code, retry_after),
        )
        self._forget(process, effect.request)

    def _answer(self, process: FakeProcess, effect: AnswerResult) -> None:
        exchange = process.exchanges.pop(effect.request, None)
        if exchange:
            exchange.reply(effect.code, effect.retry_after)

    def _forget(self, process: FakeProcess, number: int) -> None:
        if number not in process.instance.requests:
            process.exchanges.pop(number, None)

    # -- checks

    def _check_shift(
        self,
        process: FakeProcess,
        exchange: Exchange,
        effect: SendUpstream,
    ) -> None:
        active = process.instance.requests.get(effect.request)
        topology = process.instance.configuration.topology
        if active is None or topology is None:
            return
        region = process.place.region
        if active.home == region:
            return
        watch = self.world.watch
        pair = (active.service, active.home, region)
        now = self.world.clock.now
        watch.shifted_start(now, pair, topology.services[active.service])
        exchange.on_end = lambda: watch.shifted_end(pair)
        used, bound = self._region_use(topology, active.service, region)
        watch.headroom(now, active.service, region, bound)
        watch.region_use(used + 1, bound)

    def _region_use(
        self,
        topology: Topology,
        service: str,
        region: str,
    ) -> tuple[int, int]:
        used = 0
        slots = 0
        for upstream in topology.services[service].regional.get(region, ()):
            fake = self.world.upstreams[upstream.name]
            used += fake.in_flight + len(fake.waiting)
            slots += upstream.slots
        headroom = topology.regions[region].headroom
        return used, math.floor(slots * (1 - headroom))

    def _when_running(
        self,
        process: FakeProcess,
        delay: float,
        action: Callable[[], None],
    ) -> None:
        def attempt() -> None:
            if process.paused and not process.dead:
                self._when_running(process, self.world.plan.tick, action)
            else:
                action()

        self.world.clock.after(delay, attempt)
