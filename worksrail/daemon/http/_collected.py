"""An answer sink that collects the answer in memory."""

from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders, ResponseStartLine

from worksrail.daemon.http._dialect import AnswerUse


@dataclass(slots=True)
class CollectedAnswer:
    """Collects an answer; valid only if the attempt reports it as complete."""

    status: int = 0
    """HTTP status."""

    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    """Answer headers."""

    chunks: list[bytes] = field(default_factory=list)
    """Body chunks received so far."""

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
        """Append a part of the body."""
        self.chunks.append(chunk)

    def end(self) -> None:
        """Do nothing; the attempt reports whether the answer is complete."""
