"""Health checks of upstreams that cannot be reached."""

import asyncio
from dataclasses import dataclass, field
from math import inf
from typing import Final

from tornado import httputil

from worksrail.core.steering.effects import ProbeUpstream
from worksrail.core.steering.events import PathProbed
from worksrail.daemon.http._attempt import AttemptEnd, HttpAttempt, Outgoing
from worksrail.daemon.http._body import BodyStream
from worksrail.daemon.http._collected import CollectedAnswer
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.steered._engine import SteeringEngine

# Seconds that a health check may take; a slow upstream answers later.
_TIMEOUT: Final = 1.0


@dataclass(slots=True)
class PathProber:
    """Sends health checks, each on a connection of its own."""

    engine: SteeringEngine
    """Handles the events."""

    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    """Checks in progress."""

    def probe(self, effect: ProbeUpstream) -> None:
        """Check an upstream and dispatch an event with the result."""
        task = asyncio.ensure_future(self._probe(effect))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _probe(self, effect: ProbeUpstream) -> None:
        pool = ConnectionPool(self.engine.now)
        attempt = HttpAttempt(
            pool,
            self.engine.now,
            Outgoing(
                effect.address,
                httputil.RequestStartLine('GET', effect.path, 'HTTP/1.1'),
                httputil.HTTPHeaders({'Host': effect.address}),
                inf,
                self.engine.now() + _TIMEOUT,
            ),
            BodyStream.from_bytes(b''),
            CollectedAnswer(),
        )
        report = await attempt.run()
        pool.close()
        answered = report.end is AttemptEnd.WHOLE
        self.engine.dispatch(
            PathProbed(self.engine.now(), effect.upstream, answered)
        )
