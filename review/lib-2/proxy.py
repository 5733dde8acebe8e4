"""A TCP proxy on loopback whose open connections can go silent."""

import asyncio
import contextlib
import time


class Connection:
    def __init__(self):
        self.last = time.monotonic()
        self.silent = False
        self.first = b''


class Proxy:
    """Forwards connections to one address."""

    def __init__(self, target):
        host, _, port = target.partition(':')
        self.target = (host, int(port))
        self.open = set()
        self.address = ''
        self.accepted = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self

    def silence_idle(self, seconds):
        """Open connections without a byte for that long carry none any more."""
        now = time.monotonic()
        chosen = [one for one in self.open if now - one.last >= seconds]
        for one in chosen:
            one.silent = True
        return len(chosen), len(self.open)

    async def _serve(self, reader, writer):
        self.accepted += 1
        state = Connection()
        self.open.add(state)
        other = None
        try:
            far, other = await asyncio.open_connection(*self.target)
            await asyncio.gather(
                self._pump(state, reader, other),
                self._pump(state, far, writer),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(state)
            for one in (writer, other):
                if one:
                    one.transport.abort()

    async def _pump(self, state, reader, writer):
        while True:
            chunk = await reader.read(65_536)
            if not chunk:
                break
            if state.silent:
                continue
            state.last = time.monotonic()
            writer.write(chunk)
            await writer.drain()
        if not state.silent:
            with contextlib.suppress(OSError):
                writer.write_eof()
