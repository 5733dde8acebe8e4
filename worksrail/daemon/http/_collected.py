"""An answer that is kept instead of passed on."""

from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders, ResponseStartLine

from worksrail.daemon.http._dialect import AnswerUse


@dataclass(slots=True)
class CollectedAnswer:
    """Collects an answer; it counts only once the attempt says it is whole."""

    status: int = 0
    """Its status."""

    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    """Its headers."""

    chunks: list[bytes] = field(default_factory=list)
    """Parts of its body so far."""

    @property
    def body(self) -> bytes:
        """Its body so far."""
        return b''.join(self.chunks)

    def judge(self, status: int, headers: HTTPHeaders) -> AnswerUse:
        """Every answer is kept."""
        return AnswerUse.PASS_ON

    async def start_answer(
        self,
        start: ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Keep the head."""
        self.status = start.code
        self.headers = headers

    async def write(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self.chunks.append(chunk)

    def end(self) -> None:
        """Nothing more comes."""
