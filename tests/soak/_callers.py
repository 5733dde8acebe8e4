"""Callers of the soak: they use a connection until the entry is gone."""

import asyncio
import random
import re
from collections.abc import Callable
from dataclasses import dataclass

from tests.soak._promises import DEADLINE, Ended, Sent, Witness

_LENGTH = re.compile(rb'\r\nContent-Length: (\d+)', re.IGNORECASE)
_RETRY_AFTER = re.compile(rb'\r\nRetry-After: ([\d.]+)', re.IGNORECASE)
_RESULT = re.compile(rb'"result": ?(\d+)')
# Seconds between two requests.
_PAUSE = (0.0, 0.05)


@dataclass(slots=True)
class Caller:
    """Sends one request after the other to one entry at a time."""

    name: str
    """Prefix of its identifiers."""

    entries: tuple[str, ...]
    """Addresses of the entries that it uses by turns."""

    witness: Witness
    """Is told of all it sends and gets."""

    rng: random.Random
    """Draws requests."""

    clock: Callable[[], float]
    """Seconds."""

    turn: Callable[[], int] = lambda: 0
    """Number of the turn; in the next one it uses the next entry."""

    entry: str = ''
    """Address of the entry that it uses now."""

    customer: str = ''
    """Customer whose key its requests carry; empty if they carry none."""

    patience: tuple[float, ...] = (DEADLINE,)
    """Seconds that it waits for answers; by turns if there are several."""

    def __post_init__(self) -> None:
        """Begin with the first one."""
        self.entry = self.entries[0]

    async def run(self) -> None:
        """Send until cancelled."""
        number = failed = 0
        while True:
            turn = self.turn()
            self.entry = self.entries[(turn + failed) % len(self.entries)]
            try:
                reader, writer = await self._connect()
            except (OSError, TimeoutError):
                failed += 1
                await asyncio.sleep(0.1)
                continue
            failed = 0
            kept = True
            while kept and turn == self.turn():
                number += 1
                sent = self._draw(number)
                kept = await self.ask(sent, reader, writer)
                await asyncio.sleep(self.rng.uniform(*_PAUSE))
            writer.close()

    async def ask(
        self,
        sent: Sent,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send one request; false if the connection cannot be used on."""
        self.witness.sent[sent.trace] = sent
        status, body, kept, retry_after = 0, b'', False, 0.0
        try:
            async with asyncio.timeout(sent.time_left + 1):
                writer.write(request_bytes(sent))
                head = await reader.readuntil(b'\r\n\r\n')
                length = _LENGTH.search(head)
                body = await reader.readexactly(int(length[1]) if length else 0)
                status = int(head.split(b' ', 2)[1])
                told = _RETRY_AFTER.search(head)
                retry_after = float(told[1]) if told else 0.0
                kept = b'connection: close' not in head.lower()
        except TimeoutError:
            # No end was seen, so there is nothing to hold against anyone.
            return False
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.witness.ended[sent.trace] = Ended(
            sent.trace,
            status,
            body,
            self.clock(),
            retry_after,
            _result_in(status, body),
        )
        return kept

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.entry.partition(':')
        async with asyncio.timeout(1):
            return await asyncio.open_connection(host, int(port))

    def _draw(self, number: int) -> Sent:
        unsafe = self.rng.random() < 0.5
        path = f'/{"w" if unsafe else "r"}/{self.rng.randrange(40)}'
        body = self.rng.randbytes(self.rng.randrange(200)) if unsafe else b''
        return Sent(
            f'{self.name}-{number}',
            path,
            body,
            unsafe,
            self.entry,
            self.clock(),
            self.customer,
            self.patience[number % len(self.patience)],
        )


def _result_in(status: int, body: bytes) -> int:
    found = _RESULT.search(body)
    return int(found[1]) if found and status != 200 else 0


def request_bytes(sent: Sent) -> bytes:
    """Return the bytes of a request."""
    method = 'POST' if sent.unsafe else 'GET'
    key = sent.path.rpartition('/')[2]
    head = (
        f'{method} {sent.path} HTTP/1.1\r\nHost: h.example\r\n'
        f'Request-Id: {sent.trace}\r\nCookie: Affinity-Key={key}\r\n'
        f'Deadline-Ms: {int(sent.time_left * 1000)}\r\n'
    )
    if sent.customer:
        head += f'Credential: {sent.customer}\r\n'
    if sent.unsafe:
        head += f'Content-Length: {len(sent.body)}\r\n'
    return head.encode() + b'\r\n' + sent.body
