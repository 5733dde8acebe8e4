"""Callers that leave their connection, in each way that a socket knows."""

import asyncio
import socket
import struct
from collections.abc import Callable

_READ_SIZE = 65_536
# Seconds after which a test gives up; no assertion depends on it.
PATIENCE_S = 10.0


class LeavingCaller:
    """A connection whose bytes leave only as far as the kernel takes them."""

    def __init__(self, port: int, host: str = '127.0.0.1') -> None:
        """Connect."""
        self.sock = socket.create_connection((host, port), PATIENCE_S)
        self.sock.setblocking(False)

    async def send(self, payload: bytes, seconds: float = 0.3) -> int:
        """Send for some time what the other side takes; return the bytes."""
        left = memoryview(payload)
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while left and loop.time() < until:
            try:
                left = left[self.sock.send(left) :]
            except BlockingIOError:
                await asyncio.sleep(0.01)
        return len(payload) - len(left)

    async def read(self, count: int) -> bytes:
        """Read some bytes, fewer at the end of the connection."""
        loop = asyncio.get_running_loop()
        received = b''
        async with asyncio.timeout(PATIENCE_S):
            while len(received) < count:
                size = min(_READ_SIZE, count - len(received))
                part = await loop.sock_recv(self.sock, size)
                if not part:
                    break
                received += part
        return received

    def close(self) -> None:
        """Close both directions in an orderly way."""
        self.sock.close()

    def reset(self) -> None:
        """Reset the connection."""
        # With a linger time of zero, closing sends a reset.
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self.sock.close()

    def close_sending(self) -> None:
        """Close the direction towards the server only."""
        self.sock.shutdown(socket.SHUT_WR)


WAYS: dict[str, Callable[[LeavingCaller], None]] = {
    'close': LeavingCaller.close,
    'reset': LeavingCaller.reset,
    'one direction': LeavingCaller.close_sending,
}
"""How a caller leaves."""


async def until(condition: Callable[[], object]) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    try:
        async with asyncio.timeout(PATIENCE_S):
            while not condition():
                await asyncio.sleep(0.01)
    except TimeoutError:
        return False
    return True
