"""Handlers for readiness checks, look-ups of entries and metrics."""

from dataclasses import dataclass
from typing import Final

from worksrail.core.results import ResultCode
from worksrail.core.steering import look_up
from worksrail.daemon._logs import LineSink
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.http._held_bytes import HeldBytes
from worksrail.daemon.steered._adapter import RequestDialect
from worksrail.daemon.steered._engine import SteeringEngine
from worksrail.daemon.steered._metrics import SteeringMetrics

METRICS_PATH: Final = '/metrics'
_METRICS_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'


@dataclass(slots=True)
class ReadinessHandler:
    """Answers whether this entry accepts requests."""

    engine: SteeringEngine
    """Holds the state."""

    dialect: RequestDialect
    """Parses the target."""

    def arrived(self, exchange: Exchange) -> None:
        """Answer a request."""
        state = self.engine.state
        asked = self.dialect.is_readiness_check(exchange.start.path)
        if asked and state.leaving:
            exchange.answer_result(ResultCode.ENTRY_LEAVING)
        elif asked and state.ready:
            exchange.answer_document(b'{"ready": true}\n')
        elif asked:
            exchange.answer_result(ResultCode.NOT_READY)
        else:
            exchange.answer_result(ResultCode.UNKNOWN_ROUTE)

    def caller_gone(self, exchange: Exchange) -> None:
        """Do nothing: requests are answered at once."""


@dataclass(slots=True)
class LookUpHandler:
    """Answers which entries callers should use."""

    engine: SteeringEngine
    """Holds the state."""

    dialect: RequestDialect
    """Parses the target."""

    def arrived(self, exchange: Exchange) -> None:
        """Answer a request."""
        asked = self.dialect.read_look_up(exchange.start.path)
        if asked is None:
            exchange.answer_result(ResultCode.UNKNOWN_ROUTE)
            return
        engine = self.engine
        answer = look_up(engine.state, asked.region, asked.zone, engine.now())
        if isinstance(answer, ResultCode):
            exchange.answer_result(answer)
        else:
            exchange.answer_document(self.dialect.render_entries(answer))

    def caller_gone(self, exchange: Exchange) -> None:
        """Do nothing: requests are answered at once."""


@dataclass(slots=True)
class MetricsHandler:
    """Answers with the metrics."""

    engine: SteeringEngine
    """Holds the state."""

    metrics: SteeringMetrics
    """Counters and gauges."""

    sink: LineSink
    """Counts the dropped log lines."""

    held: HeldBytes
    """Bytes that the process holds."""

    def arrived(self, exchange: Exchange) -> None:
        """Answer a request."""
        if exchange.start.path != METRICS_PATH:
            exchange.answer_result(ResultCode.UNKNOWN_ROUTE)
            return
        self.metrics.held_bytes.set(self.held.held)
        text = self.metrics.render(
            self.engine.state, self.engine.now(), self.sink.dropped
        )
        exchange.answer_document(text, _METRICS_TYPE)

    def caller_gone(self, exchange: Exchange) -> None:
        """Do nothing: requests are answered at once."""
