"""An entry of another writer stands among the servers in the store."""

import asyncio
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
    route,
)

ENTRIES = 3
SERVERS = 2
WORK = 0.02
# Requests a second, to each entry in turn.
RATE = 15
FOREIGN_AT = 5.0
LENGTH = 30.0
# The platform starts a process that has ended again after a short delay.
RESTART_DELAY = 0.5
# Ends by themselves from which a machine counts, and how many machines.
ENDS = 3
MACHINES = 2


class Server:
    """A sound server."""

    def __init__(self, stage: Stage, name: str) -> None:
        self.stage = stage
        self.name = name

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
            return answer('', 200, b'', f'Instance-Id: {self.name}\r\n')
        if header('Target-Instance', head) != self.name:
            return answer(trace, 421, b'', 'Not-Executed: 1\r\n')
        self.stage.record.say(f'{self.name} runs {trace}')
        await asyncio.sleep(WORK)
        return answer(trace)


async def write_foreign_entry(stage: Stage) -> None:
    await asyncio.sleep(FOREIGN_AT)
    if not TROUBLE:
        return
    # Another writer's number in the place of the seconds; all else is as the
    # platform has it.
    stage.list_server(
        'i-other', 'other', '127.0.0.1:9', ColdRemainingS=10**400
    )
    stage.record.say('another writer adds servers/i-other')


async def ask(stage: Stage, begin: float) -> dict[str, Counter[int]]:
    results: dict[str, Counter[int]] = {'before': Counter(), 'after': Counter()}
    tasks = set()

    async def one(count: int) -> None:
        number = count % ENTRIES + 1
        trace = f'r{count}'
        text = (
            f'GET /r/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {trace}\r\n'
            'Deadline-Ms: 2500\r\n\r\n'
        )
        sent = time.monotonic() - begin
        status, _ = await exchange(stage.front(number), text.encode(), 2.5)
        when = 'before' if sent < FOREIGN_AT else 'after'
        results[when][status] += 1
        stage.record.say(f'entry {number}: {trace} got {status}')

    count = 0
    while time.monotonic() - begin < LENGTH:
        count += 1
        task = asyncio.ensure_future(one(count))
        tasks.add(task)
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    return results


async def use(stage: Stage) -> bool:
    stage.restart_delay = RESTART_DELAY
    routes = [route('r', 'safe', 'a')]
    stage.store.put('config', 'main', configuration(1, routes, ['a']))
    for number in range(1, SERVERS + 1):
        server = Server(stage, f'i-{number}')
        listening = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        port = listening.sockets[0].getsockname()[1]
        stage.list_server(server.name, 'a', f'127.0.0.1:{port}')
    for number in range(1, ENTRIES + 1):
        await stage.start(number, ENTRIES)
    await stage.ready(ENTRIES)
    begin = time.monotonic()
    writing = asyncio.ensure_future(write_foreign_entry(stage))
    results = await ask(stage, begin)
    await writing
    ends = Counter(host for host, _ in stage.ends)
    say = stage.record.say
    say(f'ends of processes by themselves, by machine: {dict(ends)}')
    for when, counts in results.items():
        say(f'answers {when} the entry was added: {dict(counts)}')
    machines = sum(count >= ENDS for count in ends.values())
    return machines < MACHINES


if __name__ == '__main__':
    sys.exit(play(CASE, use))
