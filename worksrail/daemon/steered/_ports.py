"""The ports that callers and the platform ask: requests, look-ups, readiness."""

from dataclasses import dataclass

from worksrail.core.results import ResultCode
from worksrail.core.steering import look_up
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.steered._adapter import RequestDialect
from worksrail.daemon.steered._engine import SteeringEngine


@dataclass(slots=True)
class ReadinessHandler:
    """Answers whether this entry takes requests."""

    engine: SteeringEngine
    """Knows."""

    dialect: RequestDialect
    """Reads the question."""

    def arrived(self, exchange: Exchange) -> None:
        """Answer."""
        state = self.engine.state
        if not self.dialect.is_readiness(exchange.start.path):
            exchange.answer_result(ResultCode.UNKNOWN_ROUTE)
        elif state.leaving:
            exchange.answer_result(ResultCode.ENTRY_LEAVING)
        elif state.ready:
            exchange.answer_json(b'{"ready": true}\n')
        else:
            exchange.answer_result(ResultCode.NOT_READY)

    def caller_gone(self, exchange: Exchange) -> None:
        """Nothing is under way that could be cut off."""


@dataclass(slots=True)
class LookUpHandler:
    """Answers which entries callers shall use."""

    engine: SteeringEngine
    """Knows."""

    dialect: RequestDialect
    """Reads the question."""

    def arrived(self, exchange: Exchange) -> None:
        """Answer."""
        asked = self.dialect.read_look_up(exchange.start.path)
        if asked is None:
            exchange.answer_result(ResultCode.UNKNOWN_ROUTE)
            return
        engine = self.engine
        found = look_up(engine.state, asked.region, asked.zone, engine.now())
        if isinstance(found, ResultCode):
            exchange.answer_result(found)
        else:
            exchange.answer_json(self.dialect.render_entries(found))

    def caller_gone(self, exchange: Exchange) -> None:
        """Nothing is under way that could be cut off."""
