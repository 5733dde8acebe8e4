"""Health checks of upstreams that cannot be reached."""

import asyncio
from dataclasses import dataclass, field, replace
from math import inf
from typing import Final

from tornado import httputil

from worksrail.core.availability import NO_NOTICE, AvailabilityNotice
from worksrail.core.steering.effects import ProbeUpstream
from worksrail.core.steering.events import PathProbed, ReportedLoad
from worksrail.daemon.http._attempt import AttemptEnd, HttpAttempt, Outgoing
from worksrail.daemon.http._body import BodyStream
from worksrail.daemon.http._collected import CollectedAnswer
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.steered._adapter import UpstreamDialect
from worksrail.daemon.steered._engine import SteeringEngine

# Seconds that a health check may take; a slow upstream answers later.
_TIMEOUT: Final = 1.0


@dataclass(slots=True)
class PathProber:
    """Sends health checks, each on a connection of its own."""

    engine: SteeringEngine
    """Handles the events."""

    dialect: UpstreamDialect
    """Parses the answers."""

    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    """Checks in progress."""

    def probe(self, effect: ProbeUpstream) -> None:
        """Check an upstream and dispatch an event with the result."""
        task = asyncio.ensure_future(self._probe(effect))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _probe(self, effect: ProbeUpstream) -> None:
        pool = ConnectionPool(self.engine.now)
        heads = _ProbeHead(self.dialect, effect.identifier)
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
            heads.receive,
        )
        report = await attempt.run()
        pool.close()
        answered = report.end is AttemptEnd.WHOLE
        self.engine.dispatch(
            PathProbed(
                self.engine.now(),
                effect.upstream,
                answered,
                heads.notice,
                heads.load,
            )
        )


@dataclass(slots=True)
class _ProbeHead:
    """Keeps what the answer to a health check states about its upstream.

    Health checks do not name the upstream that they are meant for, so another
    one may answer at its address.
    """

    dialect: UpstreamDialect
    identifier: str
    notice: AvailabilityNotice = NO_NOTICE
    load: ReportedLoad | None = None

    def receive(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Keep the notice if the upstream that was meant has answered."""
        answered_by = self.dialect.read_identifier(headers)
        if answered_by not in {'', self.identifier}:
            return
        if answered_by:
            self.load = self.dialect.read_answer(status, headers).load
        notice = self.dialect.read_notice(status, headers)
        # An upstream does not return once it counts as leaving, so that needs
        # its identifier; a backoff ends by itself.
        self.notice = replace(
            notice, leaving=notice.leaving and bool(answered_by)
        )
