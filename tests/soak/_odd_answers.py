"""Upstreams that write refusals which prove nothing, beside true ones."""

import random
from dataclasses import dataclass, field

from tests.soak._upstreams import NOT_EXECUTED, Upstream, render
from tests.soak._world import SoakWorld

_STATUSES = (408, 421, 429, 503)
_STRAYS = 0.2
_REFUSED = 0.1
_FALSE = 0.04
_KEPT = 20


@dataclass(slots=True)
class OddAnswers:
    """Draws answers to no request, to earlier ones, or without a statement."""

    rng: random.Random
    """Draws them."""

    sent: list[bytes] = field(default_factory=list)
    """Refusals that were written and may come again."""

    def strays(self) -> bytes:
        """Return what is written before an answer, mostly nothing."""
        if self.rng.random() >= _STRAYS:
            return b''
        unnamed = render(
            '',
            self.rng.choice((400, *_STATUSES)),
            b'',
            self.rng.choice((NOT_EXECUTED, '')),
        )
        return self.rng.choice((*self.sent[-_KEPT:], unnamed))

    def refuses(self, trace: str) -> bytes:
        """Return a true refusal, at times twice, or nothing."""
        if self.rng.random() >= _REFUSED:
            return b''
        refusal = render(trace, 503, b'', NOT_EXECUTED)
        self.sent.append(refusal)
        return refusal * self.rng.choice((1, 1, 2))

    def false_refusal(self, trace: str) -> bytes:
        """Return a refusal of what was executed, without a statement."""
        if self.rng.random() >= _FALSE:
            return b''
        return render(trace, self.rng.choice(_STATUSES), b'', '')


class RefusingWorld(SoakWorld):
    """All upstreams answer oddly all the while."""

    async def _add_upstream(self, service: str) -> None:
        await super()._add_upstream(service)
        upstream: Upstream = self.upstreams[-1]
        upstream.odd = OddAnswers(random.Random(self.rng.random()))
