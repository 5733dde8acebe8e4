"""Engine of a process: passes events to the reducer and runs its effects."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, Protocol

from logbook import Logger

from worksrail.core.effects import (
    AnswerResult,
    BecomeIncarnation,
    CancelRequest,
    Effect,
    ExitProcess,
    FetchBundle,
    Note,
    PassRequest,
    SendMessage,
    SendUpstream,
    WriteSeatTable,
)
from worksrail.core.events import Event, Ticked
from worksrail.core.instance import Instance
from worksrail.core.reducer import reduce
from worksrail.daemon import _clock
from worksrail.daemon._metrics import Metrics
from worksrail.daemon._timeline import Timeline

_LOG: Final = Logger('worksrail.engine')
_DEBUG_KINDS: Final = frozenset(
    (
        'request-sent',
        'request-ended',
        'request-passed',
        'request-refused',
    )
)


class RequestRunner(Protocol):
    """Runs the effects that concern requests."""

    def send_upstream(self, effect: SendUpstream) -> None:
        """Send a request to an upstream."""

    def pass_request(self, effect: PassRequest) -> None:
        """Pass a request to another instance."""

    def answer_result(self, effect: AnswerResult) -> None:
        """Answer a request with a result code."""

    def cancel(self, effect: CancelRequest) -> None:
        """Cancel the attempt in progress for a request."""

    def trace_of(self, number: int) -> str:
        """Return the trace identifier of a request."""


class MessageRunner(Protocol):
    """Sends messages to other instances."""

    def send(self, effect: SendMessage) -> None:
        """Send a message; it may be lost."""


class PlatformRunner(Protocol):
    """Runs the effects that concern the platform."""

    def fetch_bundle(self, effect: FetchBundle) -> None:
        """Fetch a bundle from other instances or from the store."""

    def write_seats(self, effect: WriteSeatTable) -> None:
        """Update the seat table conditionally."""


@dataclass(slots=True)
class Engine:
    """Applies events to the state; the only place where it changes.

    Effects are started before :meth:`dispatch` returns and report their results
    as later events, so that no event is handled within another one.
    """

    instance: Instance
    """State of the instance."""

    timeline: Timeline
    """Time line that records notes."""

    metrics: Metrics
    """Counters and gauges."""

    on_exit: Callable[[], None]
    """Called when a graceful stop is complete."""

    requests: RequestRunner | None = None
    """Runs the effects that concern requests."""

    messages: MessageRunner | None = None
    """Sends messages."""

    platform: PlatformRunner | None = None
    """Runs the effects that concern the platform."""

    runners: dict[type, Callable[[Any], None]] = field(default_factory=dict)
    """Function that runs each type of effect."""

    def connect(
        self,
        requests: RequestRunner,
        messages: MessageRunner,
        platform: PlatformRunner,
    ) -> None:
        """Set the objects that run the effects."""
        self.requests = requests
        self.messages = messages
        self.platform = platform
        self.runners = {
            SendUpstream: requests.send_upstream,
            PassRequest: requests.pass_request,
            AnswerResult: requests.answer_result,
            CancelRequest: requests.cancel,
            SendMessage: messages.send,
            FetchBundle: platform.fetch_bundle,
            WriteSeatTable: platform.write_seats,
            BecomeIncarnation: self._change_incarnation,
            ExitProcess: self._exit,
            Note: self._note,
        }

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return _clock.monotonic()

    def dispatch(self, event: Event) -> None:
        """Apply an event to the state and run the resulting effects."""
        self.metrics.events.labels(type(event).__name__).inc()
        for effect in reduce(self.instance, event):
            self._run(effect)

    def tick(self) -> None:
        """Dispatch the passage of time."""
        self.dispatch(Ticked(self.now(), _clock.wall()))

    def _run(self, effect: Effect) -> None:
        self.runners[type(effect)](effect)

    def _change_incarnation(self, effect: BecomeIncarnation) -> None:
        self.timeline.instance = effect.who.label

    def _exit(self, effect: ExitProcess) -> None:
        self.on_exit()

    def _note(self, note: Note) -> None:
        trace = ''
        if note.request and self.requests:
            trace = self.requests.trace_of(note.request)
        event = self.timeline.add(note, trace)
        self.metrics.count_note(note)
        log = _LOG.debug if event.kind in _DEBUG_KINDS else _LOG.info
        log(
            event.kind,
            extra={
                'subject': event.subject,
                'trace': event.trace,
                'generation': event.generation,
            },
        )
