"""The callers' port: requests of services, and look-ups."""

from dataclasses import asdict, dataclass
from typing import Final
from urllib.parse import parse_qs, urlsplit

import msgspec

from worksrail.core.lookups import LookUpAnswer, look_up
from worksrail.core.results import ResultCode
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.http._requests import HttpRequests

_OWN_PREFIX: Final = '/.worksrail/'
_LOOK_UP: Final = '/.worksrail/look-up'
_READY: Final = '/.worksrail/ready'


@dataclass(slots=True)
class CallerHandler:
    """Takes what callers send."""

    requests: HttpRequests
    """Runs requests of services."""

    def arrived(self, exchange: Exchange) -> None:
        """Answer a look-up, or let the request be placed."""
        if not exchange.start.path.startswith(_OWN_PREFIX):
            self.requests.arrived(exchange)
            return
        url = urlsplit(exchange.start.path)
        if url.path == _LOOK_UP:
            self._look_up(exchange, parse_qs(url.query))
        elif url.path == _READY:
            self._ready(exchange)
        else:
            exchange.answer_result(ResultCode.UNKNOWN_SERVICE)

    def caller_gone(self, exchange: Exchange) -> None:
        """Pass on that a caller went away."""
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
    """Takes requests that other instances pass on."""

    requests: HttpRequests
    """Runs them."""

    def arrived(self, exchange: Exchange) -> None:
        """Let a passed request be placed."""
        self.requests.arrived(exchange, trusted=True)

    def caller_gone(self, exchange: Exchange) -> None:
        """Pass on that the other instance gave the request up."""
        self.requests.caller_gone(exchange)
