"""A single entry without I/O, for tests of the steering decisions."""

from collections.abc import Iterable
from typing import Any, TypeVar

from worksrail.core.customers import Customer, CustomerTable, digest_of_key
from worksrail.core.identity import Incarnation
from worksrail.core.steering import (
    CallerLimits,
    Contact,
    EntryAddresses,
    EntryDigest,
    EntryLimits,
    EntrySettings,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServicePolicy,
    ServiceWeight,
    SteeringBounds,
    SteeringState,
    UpstreamRecord,
    ZoneDigest,
    reduce,
)
from worksrail.core.steering.effects import CheckStore, Effect, SendUpstream
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    ConfigurationRead,
    EvacuationsRead,
    RequestArrived,
    SteeredHead,
    StoreChecked,
    Ticked,
    UpstreamsListed,
)

HOST = 'orders.example'
REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
_Wanted = TypeVar('_Wanted')
_BOUNDS = SteeringBounds(repeat_extra=100, cold_factor=1.5, cold_extra=5)


def route(name: str = 'read', **changes: Any) -> Route:
    """Build a route of one service; its prefix is its name."""
    fields: dict[str, Any] = {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': RouteKind.IDEMPOTENT,
        'timeout': 2.0,
        'target_latency': 0.4,
        'priority': 1,
        'parts': (ServiceWeight('orders', 1),),
        'max_attempts': 2,
        'affinity': True,
        'regions': frozenset(),
    }
    return Route(**(fields | changes))


def configuration(
    version: int,
    routes: Iterable[Route],
    cold_rate: float = 0,
    customers: Iterable[Customer] | None = None,
) -> RoutingConfiguration:
    """Build a configuration of the services ``orders`` and ``stock``."""
    services = [
        ServicePolicy(name, 100, 3, cold_rate) for name in ('orders', 'stock')
    ]
    table = None
    if customers is not None:
        table = CustomerTable.from_customers(customers)
    return RoutingConfiguration.from_routes(
        version, routes, services, CallerLimits(), table
    )


def customer(name: str, *keys: str, **changes: Any) -> Customer:
    """Build a customer with some API keys."""
    digests = tuple(digest_of_key(key.encode()) for key in keys)
    return Customer(name, digests, **changes)


def upstream(name: str, **changes: Any) -> UpstreamRecord:
    """Build an upstream of the service ``orders`` in zone ``a1``."""
    fields: dict[str, Any] = {
        'name': name,
        'service': 'orders',
        'address': f'10.0.0.1:{name}',
        'zone': 'a1',
        'slots': 3,
        'draining': False,
        'sequence': 1,
        'cold_time': 0,
    }
    return UpstreamRecord(**(fields | changes))


def settings(
    name: str = 'one',
    bounds: SteeringBounds | None = None,
) -> EntrySettings:
    """Build settings of an entry in zone ``a1``."""
    return EntrySettings(
        name,
        'a1',
        'a',
        REGIONS,
        EntryAddresses('10.9.0.1:1', '10.9.0.1:2', '10.9.0.1:3', '10.9.0.1:4'),
        ('10.9.0.2:4',),
        '10.8.0.1:80',
        bounds or _BOUNDS,
        first_start=True,
    )


def simulate_outage(state: SteeringState, seconds: float, now: float) -> None:
    """Simulate a store outage that has just ended, with unanswered calls."""
    store_health = state.catalog.store_health
    store_health.record_answer(now - seconds)
    store_health.record_call(now - seconds + 0.5)
    store_health.record_own_answer(now)


def contact(name: str, **changes: Any) -> Contact:
    """Build the advertised state of another ready entry of zone ``a1``."""
    fields: dict[str, Any] = {
        'who': Incarnation(name, 1),
        'zone': 'a1',
        'region': 'a',
        'peer': f'10.9.0.2:{name}',
        'caller': f'10.9.0.3:{name}',
        'ready': True,
        'leaving': False,
        'capacity': EntryLimits().cores * 300,
        'rate': 0,
        'revisions': (1, 1, 1),
        'takes_requests': True,
    }
    return Contact(**(fields | changes))


def digest(
    name: str,
    number: int = 1,
    in_flight: dict[str, int] | None = None,
    **changes: Any,
) -> EntryDigest:
    """Build a digest of another ready entry of zone ``a1``."""
    return EntryDigest(contact(name, **changes), number, in_flight or {}, ())


def zone_digest(
    relay: str,
    members: Iterable[Contact],
    number: int = 1,
    in_flight: dict[str, int] | None = None,
) -> ZoneDigest:
    """Build a digest that the relay of a zone sends about its members."""
    named = tuple(members)
    return ZoneDigest(
        Incarnation(relay, 1), named[0].zone, number, named, in_flight or {}
    )


class World:
    """One entry, its clock, and all effects so far."""

    def __init__(
        self,
        routes: Iterable[Route] = (),
        upstreams: Iterable[UpstreamRecord] = (),
        **options: Any,
    ) -> None:
        """Configure an entry and let it become ready."""
        self.now = 100.0
        cold_rate = options.pop('cold_rate', 0)
        settle = options.pop('settle', 0.6)
        customers = options.pop('customers', None)
        self.state = SteeringState.from_settings(
            settings(**options), Incarnation('one', 1), self.now, 7
        )
        self.effects: list[Effect] = []
        self.requests = 0
        # How health checks of the store end: empty means answered, None means
        # that they do not end.
        self.check_failure: str | None = ''
        self.run(
            ConfigurationRead(
                self.now,
                configuration(
                    1, tuple(routes) or (route(),), cold_rate, customers
                ),
                1,
            ),
            UpstreamsListed(self.now, tuple(upstreams), 1),
            EvacuationsRead(self.now, frozenset(), 1),
        )
        self.wait(settle)

    def run(self, *events: Any) -> list[Effect]:
        """Reduce events and return their effects."""
        fresh: list[Effect] = []
        for event in events:
            fresh.extend(reduce(self.state, event))
        self.effects.extend(fresh)
        return fresh

    def wait(self, seconds: float) -> list[Effect]:
        """Advance the clock in ticks and return the effects."""
        fresh: list[Effect] = []
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.05)
            effects = self.run(Ticked(self.now))
            fresh.extend(effects)
            if of_type(effects, CheckStore) and self.check_failure is not None:
                checked = StoreChecked(self.now, self.check_failure)
                fresh.extend(self.run(checked))
        return fresh

    def ask(self, name: str = 'read', key: str = '', **head: Any) -> int:
        """Let a request arrive and return its number."""
        self.requests += 1
        fields: dict[str, Any] = {
            'trace': f't{self.requests}',
            'host': HOST,
            'method': 'GET',
            'target': f'/{name}/x?y=1',
            'time_left': 2.0,
            'key': key,
        }
        self.run(
            RequestArrived(
                self.now, self.requests, SteeredHead(**(fields | head))
            )
        )
        return self.requests

    def end(
        self,
        number: int,
        outcome: AttemptOutcome = AttemptOutcome.ANSWERED,
        *,
        attempt: int = 0,
        **report: Any,
    ) -> list[Effect]:
        """End an attempt of a request, the one that began last by default."""
        request = self.state.requests[number]
        fields: dict[str, Any] = {'status': 200}
        return self.run(
            AttemptEnded(
                self.now,
                number,
                attempt or request.attempts,
                outcome,
                **(fields | report),
            )
        )

    def sent(self, number: int) -> list[str]:
        """Return the upstreams that a request was sent to, in order."""
        return [
            effect.upstream
            for effect in of_type(self.effects, SendUpstream)
            if effect.request == number
        ]


def of_type(
    effects: Iterable[Effect],
    wanted: type[_Wanted],
) -> list[_Wanted]:
    """Return the effects of one type."""
    return [effect for effect in effects if isinstance(effect, wanted)]
