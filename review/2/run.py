"""Some clients leave right after they have sent their requests."""

import asyncio
import socket
import sys
import time
from collections import Counter
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'lib'))

from stage import (  # noqa: E402
    TROUBLE,
    Stage,
    answer,
    configuration,
    exchange,
    header,
    play,
    read_answer,
    route,
)

ENTRIES = 2
SERVERS = 4
SLOTS = 9
WORK = 0.4
# Requests a second to each entry; the slots do 90 a second in all.
RATE = 30
DEADLINE = 2.5
# The disruption: begin and end in seconds, and the share of the requests whose
# clients leave.
LEAVING = ((3.0, 8.0), (10.0, 15.0), (17.0, 22.0))
SHARE = 0.3
LENGTH = 75.0
# Seconds after the disruption from which all should be well again.
RECOVERY = 15.0
ALLOWED_SHARE = 0.6


class Server:
    """A sound server: it has slots and a short queue, and states its load."""

    def __init__(self, stage: Stage, name: str) -> None:
        self.stage = stage
        self.name = name
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(SLOTS)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                writer.write(await self._answer(head))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, head: bytes) -> bytes:
        trace = header('Request-Id', head)
        if head.startswith(b'GET /health'):
            extra = f'Instance-Id: {self.name}\r\n{self._load()}'
            return answer('', 200, b'', extra)
        if header('Target-Instance', head) != self.name:
            return answer(trace, 421, b'', 'Not-Executed: 1\r\n')
        if self.waiting >= 2 * SLOTS:
            self.stage.record.say(f'{self.name} is full: {trace} not run')
            return answer(trace, 503, b'', 'Not-Executed: 1\r\n' + self._load())
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        self.running += 1
        self.stage.record.say(f'{self.name} runs {trace}')
        await asyncio.sleep(WORK)
        self.running -= 1
        self.free.release()
        return answer(trace, extra=self._load())

    def _load(self) -> str:
        return f'Server-Load: {self.running},{self.waiting},{SLOTS}\r\n'


class Clients:
    """Clients of one entry, a new connection for each request."""

    def __init__(self, stage: Stage, number: int, begin: float) -> None:
        self.stage = stage
        self.number = number
        self.begin = begin
        self.results: list[tuple[float, int]] = []
        self.left = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        count = 0
        while True:
            now = time.monotonic() - self.begin
            if now > LENGTH:
                break
            count += 1
            leaves = (
                TROUBLE
                and any(begin <= now < end for begin, end in LEAVING)
                and count % 10 < SHARE * 10
            )
            one = self._leave(count) if leaves else self._stay(count, now)
            task = asyncio.ensure_future(one)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*self.tasks)

    def _request(self, trace: str) -> bytes:
        return (
            f'GET /r/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {trace}'
            f'\r\nDeadline-Ms: {DEADLINE * 1000:.0f}\r\n\r\n'
        ).encode()

    async def _stay(self, count: int, sent: float) -> None:
        trace = f'e{self.number}-{count}'
        front = self.stage.front(self.number)
        status, _ = await exchange(front, self._request(trace), DEADLINE)
        self.results.append((sent, status))
        self.stage.record.say(f'client of {self.number}: {trace} got {status}')

    async def _leave(self, count: int) -> None:
        trace = f'e{self.number}-{count}'
        self.left += 1
        host, _, port = self.stage.front(self.number).partition(':')
        request = self._request(trace)
        await asyncio.to_thread(_send_and_leave, host, int(port), request)
        self.stage.record.say(f'client of {self.number}: {trace} sent, and left')


def _send_and_leave(host: str, port: int, request: bytes) -> None:
    try:
        with socket.create_connection((host, port), 1) as connection:
            connection.sendall(request)
    except OSError:
        # Nobody has got this request.
        return


async def use(stage: Stage) -> bool:
    routes = [route('r', 'safe', 'a')]
    stage.store.put('config', 'main', configuration(1, routes, ['a']))
    servers = []
    for number in range(1, SERVERS + 1):
        server = Server(stage, f'i-{number}')
        servers.append(server)
        listening = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        port = listening.sockets[0].getsockname()[1]
        stage.list_server(server.name, 'a', f'127.0.0.1:{port}', slots=SLOTS)
    for number in range(1, ENTRIES + 1):
        await stage.start(number, ENTRIES)
    await stage.ready(ENTRIES)
    await asyncio.sleep(2)
    begin = time.monotonic()
    clients = [
        Clients(stage, number, begin) for number in range(1, ENTRIES + 1)
    ]
    await asyncio.gather(*(one.run() for one in clients))
    busy = sum(server.running + server.waiting for server in servers)
    stage.record.say(f'at the end, requests at all servers: {busy}')
    for number in range(1, ENTRIES + 1):
        ask = b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n'
        _, text = await exchange(f'{stage.host(number)}:9464', ask, 2)
        told = [
            line
            for line in text.decode().splitlines()
            if line.startswith('worksrail_in_flight{')
        ]
        stage.record.say(f'entry {number} says: {told}')
    return _judge(stage, clients)


def _judge(stage: Stage, clients: list[Clients]) -> bool:
    say = stage.record.say
    last = LEAVING[-1][1] + RECOVERY
    # Who gave up early is owed nothing.
    owed = [one for client in clients for one in client.results]
    for client in clients:
        by_status = Counter(
            status for sent, status in client.results if sent > last
        )
        say(f'entry {client.number}: {client.left} clients left; from '
            f'{RECOVERY} s after the last one: {dict(by_status)}')  # fmt: skip
    before = [status for sent, status in owed if sent < LEAVING[0][0]]
    late = [status for sent, status in owed if sent > last]
    served = sum(status == 200 for _, status in owed)
    share = 1 - served / len(owed)
    say(f'served before: {before.count(200)} of {len(before)}')
    say(f'served from {RECOVERY} s after: {late.count(200)} of {len(late)}')
    say(f'refused or failed of the {len(owed)} owed: {share:.3f}')
    return share <= ALLOWED_SHARE


if __name__ == '__main__':
    sys.exit(play(CASE, use))
