"""Upstreams of the soak: they execute, and misbehave when told to."""

import asyncio
import random
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Protocol

from tests.soak._departures import Departures, Run
from tests.soak._listening import LoopbackServer
from tests.soak._promises import Executed, Limited, answer_of
from tests.soak._slot_queue import SlotQueue
from tests.soak._stops import Work
from tests.soak._turns import REJECTED

_LENGTH = re.compile(rb'\r\nContent-Length: (\d+)', re.IGNORECASE)
_TRACE = re.compile(rb'\r\nRequest-Id: (\S+)', re.IGNORECASE)
_TARGET = re.compile(rb'\r\nTarget-Instance: (\S+)', re.IGNORECASE)
NOT_EXECUTED = 'Not-Executed: 1\r\n'
# Path of health checks, which are not requests of callers.
_HEALTH_PATH = '/health'
# Path of a request that crashes each upstream which begins it.
CRASHING_PATH = '/r/crash'


@unique
class Habit(Enum):
    """How an upstream answers."""

    WELL = 'right'
    LOSES = 'executes some requests and closes without an answer'
    SPOILS = 'breaks off or spoils some answers'
    REPEATS = 'sends some answers twice'
    FAILS = 'answers some requests with 500'


class OddSource(Protocol):
    """Draws answers that prove nothing, and refusals."""

    def strays(self) -> bytes:
        """Return what is written before an answer, mostly nothing."""

    def refuses(self, trace: str) -> bytes:
        """Return a true refusal, or nothing."""

    def false_refusal(self, trace: str) -> bytes:
        """Return a refusal of what was executed, or nothing."""


@dataclass(slots=True)
class Upstream(LoopbackServer):
    """One upstream at one address."""

    service: str
    """Its service."""

    name: str
    """Its identifier; another one moves in when it changes."""

    note: Callable[[Executed], None]
    """Is told of each execution."""

    rng: random.Random
    """Draws times and faults."""

    crash: Callable[['Upstream', str], None]
    """Is told which request crashes it."""

    meet: Callable[['Upstream', str, bool, int], None]
    """Is told of each request, whether it is meant for this upstream, and the
    port that it came from."""

    rejecting: Callable[[], bool]
    """Whether it rejects most requests now."""

    state: Callable[['Upstream', str, int], None] = lambda *_: None
    """Is told of each answer that states something, and the port it goes to."""

    leaving: bool = False
    """Whether it says in each answer that it leaves."""

    backoff: float = 0
    """Seconds that it asks for in rejections; while it does it rejects all."""

    habit: Habit = Habit.WELL
    """How it answers now."""

    limit: float | None = None
    """Requests a second that it names in its answers."""

    limited_since: tuple[str, float] = ('', 0)
    """Its name when it began to, and when that was."""

    work: Callable[['Upstream', str, int], Work] = lambda _, trace, __: Work(
        trace, '', 0
    )
    """Is told which request it begins to execute, and the port that it came
    from."""

    crashes: int = 0
    """Times that it crashed."""

    departures: Departures | None = None
    """Is told of each run, if the upstream is to notice who leaves it."""

    odd: OddSource | None = None
    """Draws odd answers beside its own, if there are any."""

    slot_queue: SlotQueue = field(default_factory=SlotQueue)
    """Its slots and the places in its queue."""

    def begin_limit(self, rate: float, now: float) -> None:
        """Name a limit from now on."""
        self.limit = rate
        self.limited_since = (self.name, now)

    def end_limit(self, now: float) -> Limited | None:
        """Name none any more; tells what was named under one name."""
        rate, self.limit = self.limit, None
        name, since = self.limited_since
        if rate is None or name != self.name:
            return None
        return Limited(name, rate, since, now)

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.writers.add(writer)
        try:
            while await self._one(reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            # The other side has left; what it asked for stays executed.
            pass
        except asyncio.CancelledError:
            # The soak is over; the stream's own callback would log a
            # cancelled handler as an error.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head = await reader.readuntil(b'\r\n\r\n')
        length = _LENGTH.search(head)
        body = await reader.readexactly(int(length[1])) if length else b''
        trace = _first(_TRACE, head)
        path = head.split(b' ', 2)[1].decode()
        if path == _HEALTH_PATH and not trace:
            writer.write(render('', 200, b'', f'Instance-Id: {self.name}\r\n'))
            return True
        meant = _first(_TARGET, head) == self.name
        port = writer.get_extra_info('peername')[1]
        self.meet(self, trace, meant, port)
        if not meant:
            writer.write(render(trace, 421, b'', NOT_EXECUTED))
            return True
        if self.odd:
            writer.write(self.odd.strays())
            refusal = self.odd.refuses(trace)
            if refusal:
                writer.write(refusal)
                return True
        if self._rejects():
            extra = NOT_EXECUTED + self._named() + self._stated()
            self.state(self, trace, port)
            writer.write(render(trace, 503, b'', extra))
            return True
        if self.slot_queue.is_full():
            self.slot_queue.turned_away += 1
            extra = NOT_EXECUTED + self._named() + self._reported()
            writer.write(render(trace, 503, b'', extra))
            return True
        # The service may change hands while the request waits.
        service = self.service
        await self.slot_queue.enter()
        try:
            # A request whose sender left while it waited is dropped.
            if self.slot_queue.slots and reader.at_eof():
                return False
            self.note(Executed(trace, path, body, service))
            if path == CRASHING_PATH:
                self.crashes += 1
                self.crash(self, trace)
                return False
            work, crashes = self.work(self, trace, port), self.crashes
            if not await self._execute(trace, reader):
                return False
            work.end = asyncio.get_running_loop().time()
        finally:
            self.slot_queue.leave()
        if self.leaving:
            self.state(self, trace, port)
        kept, whole = self._write(writer, trace, answer_of(trace, path, body))
        work.is_whole = whole and self.crashes == crashes
        return kept

    async def _execute(self, trace: str, reader: asyncio.StreamReader) -> bool:
        """Work for some time; false if the sender has left meanwhile."""
        duration = self.slot_queue.duration(self.rng)
        if self.departures is None:
            await asyncio.sleep(duration)
            return True
        begin = asyncio.get_running_loop().time()
        # Nothing else is sent on a connection before its answer.
        leaving = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((leaving,), timeout=duration)
        has_left = leaving.done()
        leaving.cancel()
        await asyncio.gather(leaving, return_exceptions=True)
        end = asyncio.get_running_loop().time()
        self.departures.runs.append(Run(trace, begin, end, begin + duration))
        return not has_left

    def _rejects(self) -> bool:
        if self.backoff:
            return True
        return self.rejecting() and self.rng.random() < REJECTED

    def _stated(self) -> str:
        leaving = 'Server-Leaving: 1\r\n' if self.leaving else ''
        asked = f'Retry-After: {self.backoff}\r\n' if self.backoff else ''
        return leaving + asked

    def _reported(self) -> str:
        leaving = 'Server-Leaving: 1\r\n' if self.leaving else ''
        return leaving + self.slot_queue.report()

    def _named(self) -> str:
        return '' if self.limit is None else f'Server-Limit: {self.limit}\r\n'

    def _write(
        self,
        writer: asyncio.StreamWriter,
        trace: str,
        body: bytes,
    ) -> tuple[bool, bool]:
        """Answer; return whether the connection stays, and the answer is right."""
        named = self._named() + self._reported()
        right = render(trace, 200, body, f'Response-Signature: s\r\n{named}')
        false_refusal = self.odd.false_refusal(trace) if self.odd else b''
        if false_refusal:
            writer.write(false_refusal)
            return True, False
        if self.habit is Habit.WELL or self.rng.random() < 0.5:
            writer.write(right)
        elif self.habit is Habit.FAILS:
            writer.write(render(trace, 500, b'no', named))
            return True, False
        elif self.habit is Habit.REPEATS:
            writer.write(right + right)
        elif self.habit is Habit.SPOILS:
            writer.write(self.rng.choice((right[:-9], b'garbage\r\n\r\n')))
            return False, False
        else:
            return False, False
        return True, True


def _first(pattern: re.Pattern[bytes], head: bytes) -> str:
    found = pattern.search(head)
    return found[1].decode() if found else ''


def render(trace: str, status: int, body: bytes, extra: str) -> bytes:
    head = (
        f'HTTP/1.1 {status} X\r\nRequest-Id: {trace}\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
