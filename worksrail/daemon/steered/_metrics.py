"""Prometheus metrics of an entry."""

from collections import Counter as CounterOf
from collections import defaultdict
from dataclasses import dataclass, field
from functools import partial
from math import inf
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    disable_created_metrics,
    generate_latest,
)

from worksrail.core.results import ResultCode
from worksrail.core.steering import (
    RoutingConfiguration,
    SteeringState,
    current_shares,
    is_contended,
)
from worksrail.core.steering.effects import Decision, DecisionKind

# Maximum number of customers with a series of their own.  All others share one,
# which limits the number of series.
_MAX_CUSTOMER_SERIES: Final = 50
_OTHER_CUSTOMERS: Final = 'others'
_OTHER_PRIORITIES: Final = 'others'
_BY_SERVICE: Final = ('service',)
_RETURN_OUTCOMES: Final = {
    DecisionKind.REQUEST_ANSWERED: 'served',
    DecisionKind.REQUEST_REFUSED: 'refused',
}
_BY_PRIORITY: Final = ('service', 'priority')
# Priorities with a series of their own; all less urgent ones share one.
_MAX_PRIORITIES: Final = 8


@dataclass(slots=True)
class SteeringMetrics:
    """All metrics of one process."""

    registry: CollectorRegistry
    """Registry of the metrics."""

    requests: Counter
    """Requests, by service."""

    first_sends: Counter
    """Requests sent to a first upstream, by service."""

    repeats: Counter
    """Retries sent, by service."""

    repeats_denied: Counter
    """Retries denied, by service and reason."""

    repeats_reserved: Gauge
    """Retries that this entry reserves for a window, by service."""

    repeats_reserved_by_all: Gauge
    """Retries that all known entries reserve, by service."""

    repeats_allowed: Gauge
    """Retries that all entries may send in a window, as this one knows, by
    service."""

    requests_of_all: Gauge
    """Requests to all known entries within the window, by service."""

    results: Counter
    """Ended requests by result."""

    decisions: Counter
    """Decisions by kind."""

    store_calls: Counter
    """Calls to the store by kind of object."""

    unusable: Counter
    """Objects of the store that could not be decoded, by kind."""

    attempt_errors: Counter
    """Attempts that ended with an unexpected error."""

    not_executed: Counter
    """Attempts of requests that must not repeat that count as not executed, by
    evidence."""

    stray_answers: Counter
    """Answers on connections of other requests, by the request they name."""

    over_quota: Counter
    """Requests refused because of a quota, by customer."""

    served: Counter
    """Requests answered, by service and priority."""

    refused: Counter
    """Requests refused, by service and priority."""

    slot_demand: Gauge
    """Demand of all entries for slots over the usable slots, by service, where
    requests differ in priority or customer."""

    in_flight: Gauge
    """Requests of this entry in flight at upstreams, by service."""

    open_requests: Gauge
    """Requests that have not ended."""

    held_bytes: Gauge
    """Bytes of requests and answers that the process holds."""

    upstreams: Gauge
    """Usable upstreams by service."""

    entries: Gauge
    """Number of other entries that are alive."""

    version: Gauge
    """Version of the configuration in force."""

    store_lost: Gauge
    """Number of kinds of objects that cannot be read."""

    store_age: Gauge
    """Seconds since the last known answer of the store to any entry."""

    requests_held: Gauge
    """Requests held because upstreams crashed while executing them."""

    limited_upstreams: Gauge
    """Number of upstreams that name a rate limit, by service."""

    named_rate: Gauge
    """Total requests per second that these accept, by service."""

    tokens_used: Counter
    """Requests of this entry sent to upstreams with a rate limit."""

    services_lost: Gauge
    """Number of services of which no upstream can be reached from here."""

    leaving_upstreams: Gauge
    """Number of listed upstreams that say that they are shutting down, by
    service."""

    backoffs: Gauge
    """Number of upstreams that want no requests from this entry now, by
    service."""

    paces: Gauge
    """Number of upstreams that have ever stated their pace to this entry, by
    service."""

    pace_age: Gauge
    """Average age of these paces in seconds, by service."""

    pace_lifetime: Gauge
    """Seconds for which a pace lasts, as learned, by service."""

    queues_full: Counter
    """Rejections of upstreams whose queues were full, by service."""

    promised: Gauge
    """Refused callers that this entry has asked to come back and that have yet
    to do so, by service."""

    returns: Counter
    """Ended requests of callers that came back after a refusal, by outcome."""

    lines_dropped: Gauge
    """Number of dropped log lines."""

    latency: Histogram
    """Seconds from arrival to the end of the answer, by route."""

    customers: set[str] = field(default_factory=set)
    """Customers with a series of their own."""

    counted_requests: CounterOf[str] = field(default_factory=CounterOf)
    """Requests that ``requests`` already contains, by service."""

    @classmethod
    def create(cls) -> 'SteeringMetrics':
        """Create and register all metrics, in the order of their export.

        The counts of the retry budget come first, for collectors that cut long
        answers; the long histogram comes last.
        """
        disable_created_metrics()  # type: ignore[no-untyped-call]
        registry = CollectorRegistry()
        counter = partial(Counter, registry=registry)
        gauge = partial(Gauge, registry=registry)
        return cls(
            registry,
            counter('worksrail_requests', 'Requests', _BY_SERVICE),
            counter('worksrail_first_sends', 'Sent once', _BY_SERVICE),
            counter('worksrail_repeats', 'Sent once more', _BY_SERVICE),
            counter(
                'worksrail_repeats_denied',
                'Not sent once more',
                [*_BY_SERVICE, 'reason'],
            ),
            gauge('worksrail_repeats_reserved', 'Reserved here', _BY_SERVICE),
            gauge(
                'worksrail_repeats_reserved_by_all',
                'Reserved by all entries',
                _BY_SERVICE,
            ),
            gauge(
                'worksrail_repeats_allowed',
                'Allowed to all entries',
                _BY_SERVICE,
            ),
            gauge(
                'worksrail_requests_of_all',
                'Requests to all entries in the window',
                _BY_SERVICE,
            ),
            counter('worksrail_results', 'Ends of requests', ['result']),
            counter('worksrail_decisions', 'Decisions', ['kind']),
            counter('worksrail_store_calls', 'Calls to the store', ['kind']),
            counter(
                'worksrail_objects_unusable', 'Objects not usable', ['kind']
            ),
            counter('worksrail_attempt_errors', 'Unexpected errors'),
            counter(
                'worksrail_not_executed',
                'Attempts that count as not executed',
                ['evidence'],
            ),
            counter(
                'worksrail_stray_answers',
                'Answers to other requests',
                ['named'],
            ),
            counter(
                'worksrail_over_quota', 'Refused for a quota', ['customer']
            ),
            counter('worksrail_served', 'Answered', _BY_PRIORITY),
            counter('worksrail_refused', 'Refused', _BY_PRIORITY),
            gauge(
                'worksrail_slot_demand',
                'Demand of all entries over slots',
                _BY_SERVICE,
            ),
            gauge('worksrail_in_flight', 'Requests in flight', _BY_SERVICE),
            gauge('worksrail_open_requests', 'Requests not ended'),
            gauge('worksrail_held_bytes', 'Bytes held for callers'),
            gauge('worksrail_upstreams', 'Usable upstreams', _BY_SERVICE),
            gauge('worksrail_entries', 'Other entries alive'),
            gauge('worksrail_configuration_version', 'Version in force'),
            gauge('worksrail_store_lost', 'Kinds that cannot be read'),
            gauge('worksrail_store_answer_age_seconds', 'Since an answer'),
            gauge('worksrail_requests_held', 'Requests held for crashes'),
            gauge(
                'worksrail_limited_upstreams',
                'Upstreams that name a limit',
                _BY_SERVICE,
            ),
            gauge(
                'worksrail_named_limit_per_second',
                'Requests a second that they take',
                _BY_SERVICE,
            ),
            counter('worksrail_tokens_used', 'Requests sent with a token'),
            gauge('worksrail_services_unreachable', 'Services not reached'),
            gauge(
                'worksrail_leaving_upstreams',
                'Upstreams that say that they leave',
                _BY_SERVICE,
            ),
            gauge(
                'worksrail_upstream_backoffs',
                'Upstreams that want no requests from this entry',
                _BY_SERVICE,
            ),
            gauge('worksrail_stated_paces', 'Paces known', _BY_SERVICE),
            gauge(
                'worksrail_stated_pace_age_seconds',
                'Average age of the paces known',
                _BY_SERVICE,
            ),
            gauge(
                'worksrail_stated_pace_lifetime_seconds',
                'How long a pace lasts',
                _BY_SERVICE,
            ),
            counter(
                'worksrail_full_queue_rejections',
                'Rejections of upstreams with full queues',
                _BY_SERVICE,
            ),
            gauge(
                'worksrail_promised_returns',
                'Refused callers that are asked to come back',
                _BY_SERVICE,
            ),
            counter('worksrail_returns', 'Came back', ['outcome']),
            gauge('worksrail_log_lines_dropped', 'Log lines dropped'),
            Histogram(
                'worksrail_request_seconds',
                'Seconds to the end of the answer',
                ['route'],
                registry=registry,
            ),
        )

    def count(self, decision: Decision) -> None:
        """Count a decision, and the end of a request."""
        self.decisions.labels(decision.kind.name).inc()
        self._count_by_caller(decision)
        self._count_send(decision)
        self._count_evidence(decision)
        if decision.kind is DecisionKind.REQUEST_ANSWERED:
            inputs = dict(decision.inputs)
            self.results.labels('OK').inc()
            self.latency.labels(inputs['route']).observe(float(inputs['after']))
        elif decision.kind in {
            DecisionKind.REQUEST_REFUSED,
            DecisionKind.REQUEST_FAILED,
        }:
            self.results.labels(decision.subject).inc()
            if decision.subject == ResultCode.QUOTA_REACHED.name:
                customer = str(dict(decision.inputs).get('customer'))
                self.over_quota.labels(self._customer_label(customer)).inc()

    def count_unusable(self, kind: str) -> None:
        """Count an object that cannot be decoded."""
        self.unusable.labels(kind).inc()

    def count_call(self, kind: str) -> None:
        """Count a call to the store."""
        self.store_calls.labels(kind).inc()

    def render(self, state: SteeringState, now: float, dropped: int) -> bytes:
        """Update the gauges and return the metrics as text."""
        self._update_services(state, now)
        self.entries.set(len(state.fleet.alive(now)))
        self.services_lost.set(len(state.paths.lost_since))
        self._update_store(state, now)
        self.requests_held.set(state.quarantine.count_held(now))
        self._update_limits(state, now)
        self._update_budgets(state, now)
        self.lines_dropped.set(dropped)
        return generate_latest(self.registry)

    def _update_store(self, state: SteeringState, now: float) -> None:
        self.store_lost.set(len(state.failing_kinds))
        age = state.catalog.store_health.age(now)
        self.store_age.set(inf if age is None else age)

    def _update_services(self, state: SteeringState, now: float) -> None:
        self.open_requests.set(len(state.requests))
        configuration = state.configuration
        if isinstance(configuration, RoutingConfiguration):
            self.version.set(configuration.version)
        listed: dict[str, list[str]] = {}
        for name, upstream in state.catalog.upstreams.items():
            listed.setdefault(upstream.record.service, []).append(name)
        for service, names in listed.items():
            usable = state.catalog.services.get(service, ())
            self.upstreams.labels(service).set(len(usable))
            self.in_flight.labels(service).set(
                sum(state.loads.of(name).own for name in names)
            )
            if is_contended(state, service):
                shares = current_shares(state, service, now)
                self.slot_demand.labels(service).set(shares.total)

    def _update_availability(self, state: SteeringState, now: float) -> None:
        leaving: dict[str, int] = defaultdict(int)
        backing_off: dict[str, int] = defaultdict(int)
        for name, upstream in state.catalog.upstreams.items():
            service = upstream.record.service
            leaving[service] += name in state.catalog.leaving
            backing_off[service] += state.rates.backoffs.is_active(name, now)
        for service, count in leaving.items():
            self.leaving_upstreams.labels(service).set(count)
            self.backoffs.labels(service).set(backing_off[service])

    def _update_limits(self, state: SteeringState, now: float) -> None:
        self._update_availability(state, now)
        self._update_reports(state, now)
        for service, schedule in state.retries.items():
            self.promised.labels(service).set(schedule.outstanding(now))
        pacer = state.rates.named
        for service, usable in state.catalog.services.items():
            rates = [pacer.rate_of(upstream.name) for upstream in usable]
            named = [rate for rate in rates if rate is not None]
            self.limited_upstreams.labels(service).set(len(named))
            self.named_rate.labels(service).set(sum(named))
        self.tokens_used.inc(pacer.take_used())

    def _update_reports(self, state: SteeringState, now: float) -> None:
        for service, common in state.loads.services.items():
            ages = state.loads.pace_ages(state.catalog.names_of(service), now)
            self.paces.labels(service).set(len(ages))
            self.pace_age.labels(service).set(sum(ages) / max(1, len(ages)))
            self.pace_lifetime.labels(service).set(common.lifetime.seconds)
            rejections = common.places.take_rejections()
            self.queues_full.labels(service).inc(rejections)

    def _update_budgets(self, state: SteeringState, now: float) -> None:
        counted = state.budgets.totals.requests
        for service, number in counted.items():
            added = number - self.counted_requests[service]
            self.requests.labels(service).inc(added)
            self.counted_requests[service] = number
        for service in tuple(state.budgets.budgets):
            use = state.budgets.fleet_use(service, now)
            self.repeats_allowed.labels(service).set(use.allowed)
            self.repeats_reserved.labels(service).set(use.own)
            self.repeats_reserved_by_all.labels(service).set(use.total.reserved)
            self.requests_of_all.labels(service).set(use.requests)

    def _count_send(self, decision: Decision) -> None:
        """Count a request sent to an upstream, or a denied retry."""
        service = _service_of(decision)
        if decision.kind is DecisionKind.REQUEST_SENT:
            self.first_sends.labels(service).inc()
        elif decision.kind is DecisionKind.REQUEST_REPEATED:
            self.repeats.labels(service).inc()
        elif decision.kind is DecisionKind.REPEAT_DENIED:
            self.repeats_denied.labels(service, decision.subject).inc()

    def _count_evidence(self, decision: Decision) -> None:
        """Count why attempts count as not executed, and stray answers."""
        if decision.kind is DecisionKind.NOT_EXECUTED:
            self.not_executed.labels(decision.subject).inc()
        elif decision.kind is DecisionKind.STRAY_ANSWER:
            self.stray_answers.labels(decision.subject).inc()

    def _count_by_caller(self, decision: Decision) -> None:
        """Count the end of a request by who sent it."""
        self._count_return(decision)
        self._count_by_priority(decision)

    def _count_return(self, decision: Decision) -> None:
        outcome = _RETURN_OUTCOMES.get(decision.kind)
        if outcome and dict(decision.inputs).get('returned'):
            self.returns.labels(outcome).inc()

    def _count_by_priority(self, decision: Decision) -> None:
        counters = {
            DecisionKind.REQUEST_ANSWERED: self.served,
            DecisionKind.REQUEST_REFUSED: self.refused,
        }
        counter = counters.get(decision.kind)
        inputs = dict(decision.inputs)
        # A request may be refused before its route is known.
        if counter is None or 'priority' not in inputs:
            return
        priority = int(inputs['priority'])
        label = (
            str(priority) if priority < _MAX_PRIORITIES else _OTHER_PRIORITIES
        )
        counter.labels(inputs['service'], label).inc()

    def _customer_label(self, customer: str) -> str:
        if len(self.customers) < _MAX_CUSTOMER_SERIES:
            self.customers.add(customer)
        return customer if customer in self.customers else _OTHER_CUSTOMERS


def _service_of(decision: Decision) -> str:
    return str(dict(decision.inputs).get('service', ''))
