"""An answer sink that collects the answer in memory."""

from dataclasses import dataclass, field
from typing import Final

from tornado.httputil import HTTPHeaders, HTTPInputError, ResponseStartLine

from worksrail.daemon.http._dialect import AnswerUse

_MAX_BYTES: Final = 1_048_576


@dataclass(slots=True)
class CollectedAnswer:
    """Collects an answer; valid only if the attempt reports it as complete."""

    status: int = 0
    """HTTP status."""

    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    """Answer headers."""

    chunks: list[bytes] = field(default_factory=list)
    """Body chunks received so far."""

    maximum: float = _MAX_BYTES
    """Bytes of a body beyond which the answer is not read to its end."""

    size: int = 0
    """Bytes of the body that have arrived."""

    @property
    def too_long(self) -> bool:
        """Whether the body exceeds its maximum, and was dropped."""
        return self.size > self.maximum

    @property
    def body(self) -> bytes:
        """Body received so far."""
        return b''.join(self.chunks)

    def judge(self, status: int, headers: HTTPHeaders) -> AnswerUse:
        """Accept every answer."""
        return AnswerUse.PASS_ON

    async def start_answer(
        self,
        start: ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the status and the headers."""
        self.status = start.code
        self.headers = headers

    async def write(self, chunk: bytes) -> None:
        """Append a part of the body, unless it gets too long."""
        self.size += len(chunk)
        if self.too_long:
            self.chunks.clear()
            raise HTTPInputError(f'the body exceeds {self.maximum} bytes')
        self.chunks.append(chunk)

    def end(self) -> None:
        """Do nothing; the attempt reports whether the answer is complete."""
