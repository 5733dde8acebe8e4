"""Counters and histograms of an entry, in the format of Prometheus."""

from dataclasses import dataclass, field
from functools import partial
from math import inf
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from worksrail.core.results import ResultCode
from worksrail.core.steering import RoutingConfiguration, SteeringState
from worksrail.core.steering.effects import Decision, DecisionKind

# Customers with a series of their own; all others share one, so that any number
# of them over their quotas makes no more.
_MOST_CUSTOMERS: Final = 50
_OTHERS: Final = 'others'
_BY_SERVICE: Final = ('service',)


@dataclass(slots=True)
class SteeringMetrics:
    """All metrics of one process."""

    registry: CollectorRegistry
    """Where they are registered."""

    decisions: Counter
    """Decisions by kind."""

    results: Counter
    """Ends of requests by result."""

    latency: Histogram
    """Seconds from arrival to the end of the answer, by route."""

    store_calls: Counter
    """Calls to the store by what was asked for."""

    unusable: Counter
    """Objects of the store that could not be used, by kind."""

    over_quota: Counter
    """Requests refused for a quota, by customer."""

    in_flight: Gauge
    """Requests of this entry in flight at upstreams, by service."""

    upstreams: Gauge
    """Usable upstreams by service."""

    entries: Gauge
    """Other entries that are alive."""

    version: Gauge
    """Version of the configuration in force."""

    store_lost: Gauge
    """Kinds of objects whose reading fails."""

    store_age: Gauge
    """Seconds since the store is known to have answered any entry."""

    requests_held: Gauge
    """Requests that are held because upstreams crashed under them."""

    limited_upstreams: Gauge
    """Upstreams that name a limit, by service."""

    named_rate: Gauge
    """Requests a second that these take together, by service."""

    tokens_used: Counter
    """Requests of this entry that went to upstreams with limits."""

    repeats: Counter
    """Requests sent to one more upstream, by service."""

    repeats_denied: Counter
    """Requests not sent once more, by service and reason."""

    repeats_reserved: Gauge
    """Repeats that this entry has reserved for a window, by service."""

    repeats_reserved_by_all: Gauge
    """The same of all entries, as far as this one knows."""

    requests_of_all: Gauge
    """Requests to all entries within the window, as far as this one knows."""

    lines_dropped: Gauge
    """Log lines that nobody took."""

    customers: set[str] = field(default_factory=set)
    """Customers with a series of their own."""

    @classmethod
    def create(cls) -> 'SteeringMetrics':
        """Register all metrics."""
        registry = CollectorRegistry()
        counter = partial(Counter, registry=registry)
        gauge = partial(Gauge, registry=registry)
        return cls(
            registry,
            counter('worksrail_decisions', 'Decisions', ['kind']),
            counter('worksrail_results', 'Ends of requests', ['result']),
            Histogram(
                'worksrail_request_seconds',
                'Seconds to the end of the answer',
                ['route'],
                registry=registry,
            ),
            counter('worksrail_store_calls', 'Calls to the store', ['kind']),
            counter(
                'worksrail_objects_unusable', 'Objects not usable', ['kind']
            ),
            counter(
                'worksrail_over_quota', 'Refused for a quota', ['customer']
            ),
            gauge('worksrail_in_flight', 'Requests in flight', _BY_SERVICE),
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
                'worksrail_requests_of_all',
                'Requests to all entries in the window',
                _BY_SERVICE,
            ),
            gauge('worksrail_log_lines_dropped', 'Log lines dropped'),
        )

    def count(self, decision: Decision) -> None:
        """Count a decision, and the end of a request."""
        self.decisions.labels(decision.kind.name).inc()
        if decision.kind is DecisionKind.REQUEST_ANSWERED:
            inputs = dict(decision.inputs)
            self.results.labels('OK').inc()
            self.latency.labels(inputs['route']).observe(float(inputs['after']))
        elif decision.kind is DecisionKind.REQUEST_REPEATED:
            service = _service_of(decision)
            self.repeats.labels(service).inc()
        elif decision.kind is DecisionKind.REPEAT_DENIED:
            service = _service_of(decision)
            self.repeats_denied.labels(service, decision.subject).inc()
        elif decision.kind in {
            DecisionKind.REQUEST_REFUSED,
            DecisionKind.REQUEST_FAILED,
        }:
            self.results.labels(decision.subject).inc()
            if decision.subject == ResultCode.QUOTA_REACHED.name:
                customer = str(dict(decision.inputs).get('customer'))
                self.over_quota.labels(self._series_of(customer)).inc()

    def count_unusable(self, kind: str) -> None:
        """Count an object that cannot be used."""
        self.unusable.labels(kind).inc()

    def count_call(self, kind: str) -> None:
        """Count a call to the store."""
        self.store_calls.labels(kind).inc()

    def render(self, state: SteeringState, now: float, dropped: int) -> bytes:
        """Bring the gauges up to date and give the text."""
        self._show_services(state)
        self.entries.set(len(state.fleet.alive(now)))
        self.store_lost.set(len(state.failing_kinds))
        age = state.catalog.store_health.age(now)
        self.store_age.set(inf if age is None else age)
        self.requests_held.set(state.quarantine.count_held(now))
        self._show_limits(state)
        self._show_budgets(state, now)
        self.lines_dropped.set(dropped)
        return generate_latest(self.registry)

    def _show_services(self, state: SteeringState) -> None:
        configuration = state.configuration
        if isinstance(configuration, RoutingConfiguration):
            self.version.set(configuration.version)
        for service, usable in state.catalog.services.items():
            self.upstreams.labels(service).set(len(usable))
            self.in_flight.labels(service).set(
                sum(state.loads.of(found.name).own for found in usable)
            )

    def _show_limits(self, state: SteeringState) -> None:
        pacer = state.rates.named
        for service, usable in state.catalog.services.items():
            rates = [pacer.rate_of(found.name) for found in usable]
            named = [rate for rate in rates if rate is not None]
            self.limited_upstreams.labels(service).set(len(named))
            self.named_rate.labels(service).set(sum(named))
        self.tokens_used.inc(pacer.take_used())

    def _show_budgets(self, state: SteeringState, now: float) -> None:
        for service in tuple(state.budgets.budgets):
            use = state.budgets.fleet_use(service, now)
            self.repeats_reserved.labels(service).set(use.own)
            self.repeats_reserved_by_all.labels(service).set(use.total.reserved)
            self.requests_of_all.labels(service).set(use.total.requests)

    def _series_of(self, customer: str) -> str:
        if len(self.customers) < _MOST_CUSTOMERS:
            self.customers.add(customer)
        return customer if customer in self.customers else _OTHERS


def _service_of(decision: Decision) -> str:
    return str(dict(decision.inputs).get('service', ''))
