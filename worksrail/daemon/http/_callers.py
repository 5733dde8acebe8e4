"""Handlers of the caller port and of the port for passed requests."""

from dataclasses import asdict, dataclass
from typing import Final
from urllib.parse import parse_qs, urlsplit

import msgspec

from worksrail.core.lookups import LookUpAnswer, look_up
from worksrail.core.results import ResultCode
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.http._requests import HttpRequests

_RESERVED_PREFIX: Final = '/.worksrail/'
_LOOK_UP_PATH: Final = '/.worksrail/look-up'
_READY_PATH: Final = '/.worksrail/ready'


@dataclass(slots=True)
class CallerHandler:
    """Handles the requests of callers: services, look-ups and readiness."""

    requests: HttpRequests
    """Handles requests to services."""

    def arrived(self, exchange: Exchange) -> None:
        """Answer a look-up or a readiness check, or start a service request."""
        if not exchange.start.path.startswith(_RESERVED_PREFIX):
            self.requests.arrived(exchange)
            return
        url = urlsplit(exchange.start.path)
        if url.path == _LOOK_UP_PATH:
            self._look_up(exchange, parse_qs(url.query))
        elif url.path == _READY_PATH:
            self._ready(exchange)
        else:
            exchange.answer_result(ResultCode.UNKNOWN_SERVICE)

    def caller_gone(self, exchange: Exchange) -> None:
        """Report that a caller disconnected."""
        self.requests.caller_gone(exchange)

    def _look_up(
        self,
        exchange: Exchange,
        query: dict[str, list[str]],
    ) -> None:
        service = query.get('service', [''])[0]
        client = query.get('client', [exchange.client])[0]
        engine = self.requests.engine
        answer = look_up(engine.instance, client, service, engine.now())
        if isinstance(answer, ResultCode):
            exchange.answer_result(answer)
            return
        exchange.answer_document(self._document(answer))

    def _document(self, answer: LookUpAnswer) -> bytes:
        ticket = self.requests.signer().sign(answer.ticket)
        return msgspec.json.encode(
            {
                'service': answer.service,
                'home': answer.home,
                'entries': [asdict(entry) for entry in answer.entries],
                'max_age': answer.max_age,
                'generation': answer.generation,
                'ticket': ticket,
            }
        )

    def _ready(self, exchange: Exchange) -> None:
        engine = self.requests.engine
        if engine.instance.configuration.topology is None:
            exchange.answer_result(ResultCode.NOT_READY)
        else:
            exchange.answer_document(b'{"ready": true}\n')


@dataclass(slots=True)
class PassedHandler:
    """Handles requests passed on by other instances."""

    requests: HttpRequests
    """Handles requests to services."""

    def arrived(self, exchange: Exchange) -> None:
        """Start a request that was passed on."""
        self.requests.arrived(exchange, trusted=True)

    def caller_gone(self, exchange: Exchange) -> None:
        """Report that the passing instance closed its connection."""
        self.requests.caller_gone(exchange)
