"""Operators API: JSON over HTTP with bearer tokens, and the metrics."""

import hashlib
import hmac
from dataclasses import asdict, is_dataclass
from typing import Any, Final

import msgspec
from logbook import Logger
from tornado.web import Application, RequestHandler

from worksrail.core.bundle import Drain, DrainKind
from worksrail.core.drains import remaining_work
from worksrail.core.explanations import explain
from worksrail.core.results import ResultCode
from worksrail.daemon._engine import Engine
from worksrail.daemon._timeline import Stamp
from worksrail.daemon.http import _headers as names
from worksrail.daemon.operators._desk import Desk, Refused

_LOG: Final = Logger('worksrail.operators')
_BEARER: Final = 'Bearer '
_MAX_BODY_BYTES: Final = 2_097_152


class OperatorTokens:
    """Operators, identified by the SHA-256 digest of their token."""

    def __init__(self, text: str) -> None:
        """Parse ``name=SHA256,name=SHA256``."""
        pairs = [part.partition('=') for part in text.split(',') if part]
        self.digests = [(name, digest) for name, _, digest in pairs]

    def operator(self, header: str) -> str:
        """Return the operator for an ``Authorization`` header, or ``''``."""
        if not header.startswith(_BEARER):
            return ''
        token = header.removeprefix(_BEARER).encode()
        digest = hashlib.sha256(token).hexdigest()
        found = ''
        for name, expected in self.digests:
            if hmac.compare_digest(digest, expected):
                found = name
        return found


class OperatorHandler(RequestHandler):
    """Base handler: authentication and the format of answers."""

    def initialize(
        self,
        engine: Engine,
        desk: Desk,
        tokens: OperatorTokens,
    ) -> None:
        """Store the objects passed to each handler by the application."""
        self.engine = engine
        self.desk = desk
        self.tokens = tokens
        self.operator = ''

    def prepare(self) -> None:
        """Refuse requests without a valid token."""
        self.operator = self.tokens.operator(
            self.request.headers.get('Authorization', '')
        )
        if not self.operator:
            self.refuse(Refused(ResultCode.UNAUTHENTICATED))

    def refuse(self, refused: Refused) -> None:
        """Answer with a result code."""
        code = refused.code
        self.set_status(code.http_status)
        self.set_header(names.RESULT, str(code.number))
        self.answer(
            {
                'result': code.number,
                'name': code.name,
                'meaning': code.value.meaning,
                'advice': code.value.advice,
                'detail': refused.detail,
                'faults': refused.faults.faults if refused.faults else (),
                'figures': refused.figures,
            }
        )

    def answer(self, document: object) -> None:
        """Answer with a JSON document."""
        self.set_header('Content-Type', 'application/json')
        if is_dataclass(document) and not isinstance(document, type):
            document = asdict(document)
        self.finish(msgspec.json.encode(document))

    def answer_outcome(self, outcome: object) -> None:
        """Log an operation, and answer with its result or refusal."""
        _LOG.info(
            'operator call',
            extra={
                'operator': self.operator,
                'path': self.request.path,
                'trace': self.request.headers.get(names.TRACE, ''),
                'outcome': type(outcome).__name__,
            },
        )
        if isinstance(outcome, Refused):
            self.refuse(outcome)
        else:
            self.answer(outcome)

    def arguments(self) -> dict[str, Any]:
        """Return the JSON object in the body; empty if there is none."""
        try:
            return msgspec.json.decode(
                self.request.body or b'{}', type=dict[str, Any]
            )
        except (msgspec.DecodeError, msgspec.ValidationError):
            return {}

    def write_error(self, status_code: int, **details: Any) -> None:
        """Answer an unexpected error with a result code."""
        self.refuse(
            Refused(ResultCode.INVALID_ARGUMENT, f'status {status_code}')
        )


class SubmitHandler(OperatorHandler):
    """``POST /v1/bundles`` with the text of a bundle."""

    async def post(self) -> None:
        """Submit a bundle."""
        text = self.request.body.decode(errors='replace')
        self.answer_outcome(await self.desk.submit(text, self.operator))


class BundleHandler(OperatorHandler):
    """``GET /v1/bundles/DIGEST``."""

    async def get(self, digest: str) -> None:
        """Show a bundle."""
        self.answer_outcome(await self.desk.show(digest))


class ApproveHandler(OperatorHandler):
    """``POST /v1/bundles/DIGEST/approval``."""

    async def post(self, digest: str) -> None:
        """Approve a bundle."""
        self.answer_outcome(await self.desk.approve(digest, self.operator))


class RollHandler(OperatorHandler):
    """``POST /v1/roll`` with digest, base and operation."""

    async def post(self) -> None:
        """Roll out a bundle."""
        arguments = self.arguments()
        base = arguments.get('base')
        operation = str(arguments.get('operation', ''))
        if not isinstance(base, int) or not operation:
            self.refuse(
                Refused(
                    ResultCode.INVALID_ARGUMENT,
                    'expected digest, base and operation',
                )
            )
            return
        self.answer_outcome(
            await self.desk.roll(
                str(arguments.get('digest', '')),
                base,
                operation,
                self.operator,
            )
        )


class HistoryHandler(OperatorHandler):
    """``GET /v1/history``."""

    async def get(self) -> None:
        """Return all generations on record."""
        self.answer_outcome(await self.desk.history())


class DrainHandler(OperatorHandler):
    """``POST /v1/drains`` with kind, name, add, dry_run and force."""

    def get(self) -> None:
        """Return this entry's requests in flight at drained upstreams."""
        self.answer({'remaining': remaining_work(self.engine.instance)})

    async def post(self) -> None:
        """Change the drain list."""
        arguments = self.arguments()
        kinds = {kind.value for kind in DrainKind}
        kind = arguments.get('kind')
        if kind not in kinds:
            self.refuse(
                Refused(
                    ResultCode.INVALID_ARGUMENT,
                    f'expected a kind out of {sorted(kinds)}',
                )
            )
            return
        drain = Drain(DrainKind(kind), str(arguments.get('name', '')))
        self.answer_outcome(
            await self.desk.change_drains(
                drain,
                self.operator,
                add=bool(arguments.get('add', True)),
                dry_run=bool(arguments.get('dry_run', False)),
                force=bool(arguments.get('force', False)),
            )
        )


class StatusHandler(OperatorHandler):
    """``GET /v1/status``."""

    def get(self) -> None:
        """Return the status of all instances known to this one."""
        instance = self.engine.instance
        now = self.engine.now()
        records = [instance.record(now)]
        states = ['self']
        for name, member in instance.membership.members.items():
            records.append(member.record)
            liveness = instance.membership.liveness(
                name, now, instance.settings
            )
            states.append(liveness.value)
        self.answer(
            {
                'instances': [
                    {
                        **msgspec.structs.asdict(record),
                        'who': record.who.label,
                        'name': record.who.name,
                        'status': record.status.name.lower(),
                        'seen_as': state,
                        'zone': record.place.zone,
                        'region': record.place.region,
                        'caller': record.endpoints.caller,
                        'operator': record.endpoints.operator,
                        'spares': [
                            msgspec.structs.asdict(spare)
                            for spare in record.spares
                        ],
                        'seats': [seat.seat for seat in record.seats],
                    }
                    for record, state in zip(records, states, strict=True)
                ],
                'drains': instance.configuration.drain_targets,
                'remaining': remaining_work(instance),
            }
        )


class TimelineHandler(OperatorHandler):
    """``GET /v1/timeline?wall=&count=``."""

    def get(self) -> None:
        """Return the events of this instance after a stamp."""
        try:
            stamp = Stamp(
                float(self.get_argument('wall', '0')),
                int(self.get_argument('count', '0')),
            )
        except ValueError:
            self.refuse(
                Refused(
                    ResultCode.INVALID_ARGUMENT,
                    'expected numbers for wall and count',
                )
            )
            return
        self.answer({'events': self.engine.timeline.since(stamp)})


class ExplainHandler(OperatorHandler):
    """``GET /v1/explain?client=&service=``."""

    def get(self) -> None:
        """Return which upstreams a caller would get now, and why."""
        self.answer_explanation(
            explain(
                self.engine.instance,
                self.get_argument('client', ''),
                self.get_argument('service', ''),
                self.engine.now(),
            )
        )

    def answer_explanation(self, outcome: object) -> None:
        """Answer with an explanation or with a result code."""
        if isinstance(outcome, ResultCode):
            self.refuse(Refused(outcome))
        else:
            self.answer_outcome(outcome)


class MetricsHandler(RequestHandler):
    """``GET /metrics``; needs no token."""

    def initialize(self, engine: Engine) -> None:
        """Store the objects passed to each handler by the application."""
        self.engine = engine

    def get(self) -> None:
        """Return all metrics."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.engine.metrics.render(self.engine.instance))


def operator_application(
    engine: Engine,
    desk: Desk,
    tokens: OperatorTokens,
) -> Application:
    """Create the application of the operator port."""
    shared = {'engine': engine, 'desk': desk, 'tokens': tokens}
    return Application(
        [
            (r'/v1/bundles', SubmitHandler, shared),
            (r'/v1/bundles/([0-9a-f]{64})', BundleHandler, shared),
            (r'/v1/bundles/([0-9a-f]{64})/approval', ApproveHandler, shared),
            (r'/v1/roll', RollHandler, shared),
            (r'/v1/history', HistoryHandler, shared),
            (r'/v1/drains', DrainHandler, shared),
            (r'/v1/status', StatusHandler, shared),
            (r'/v1/timeline', TimelineHandler, shared),
            (r'/v1/explain', ExplainHandler, shared),
            (r'/metrics', MetricsHandler, {'engine': engine}),
        ],
        default_handler_class=_UnknownHandler,
        default_handler_args=shared,
        log_function=_no_log,
    )


class _UnknownHandler(OperatorHandler):
    """Handles unknown paths."""

    def prepare(self) -> None:
        """Refuse the request."""
        self.refuse(Refused(ResultCode.INVALID_ARGUMENT, self.request.path))


def _no_log(handler: RequestHandler) -> None:
    """Do nothing; the handlers log the operations themselves."""
