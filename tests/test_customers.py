"""Customers in bundles: API keys, quotas over all entries, invalid bundles."""

from collections import Counter
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine

from worksrail.bench.world import World, WorldPlan
from worksrail.core.bundle import (
    Bundle,
    BundleFaults,
    pack_bundle,
    parse_bundle,
    unpack_bundle,
)
from worksrail.core.customers import digest_of_key
from worksrail.core.events import RequestArrived
from worksrail.core.requests import TicketSigner
from worksrail.core.results import ResultCode
from worksrail.core.settings import CoreSettings
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.http._headers import end_to_end
from worksrail.daemon.http._requests import HttpRequests

_TEXT = """
format: worksrail/1
name: customers
answer_age: 1
regions:
  - {{name: north, seats: 3, headroom: 0.1}}
zones:
  - {{name: north-a, region: north}}
client_blocks:
  - {{block: 10.0.0.0/8, zone: north-a}}
services:
  - name: orders
    host: orders.example
    deadline: 3
    upstreams:
      - {{name: orders-1, address: "10.9.1.1:9300", zone: north-a, slots: 40}}
      - {{name: orders-2, address: "10.9.1.2:9300", zone: north-a, slots: 40}}
  - name: open
    host: open.example
    public: true
    upstreams:
      - {{name: open-1, address: "10.9.1.3:9300", zone: north-a, slots: 40}}
customers:
{customers}
"""
_DIGESTS = {name: digest_of_key(name.encode()) for name in ('old', 'new', 's')}
_CUSTOMERS = f"""
  - {{name: acme, keys: [{_DIGESTS['old']}, {_DIGESTS['new']}]}}
  - {{name: small, keys: [{_DIGESTS['s']}], quota: {{rate: 20, burst: 10}}}}
"""
_STEADY_AT = 8.0


def _bundle(customers: str = _CUSTOMERS) -> Bundle:
    bundle = parse_bundle(_TEXT.format(customers=customers))
    assert isinstance(bundle, Bundle), bundle
    return bundle


def _world(bundle: Bundle) -> World:
    plan = WorldPlan(bundle, CoreSettings(), {'orders': 0.05, 'open': 0.05})
    world = World.from_plan(plan)
    world.run_until(_STEADY_AT)
    return world


def _set_key(world: World, key: str) -> None:
    world.callers.key_digest = digest_of_key(key.encode()) if key else ''


def _request(world: World, service: str, key: str) -> ResultCode | None:
    _set_key(world, key)
    outcome = world.callers.request(service, 'north')
    world.run_until(world.clock.now + 1)
    return outcome.code


@pytest.mark.parametrize(
    ('service', 'key', 'code'),
    [
        ('orders', 'old', ResultCode.OK),
        ('orders', 'new', ResultCode.OK),
        ('orders', 'wrong', ResultCode.UNKNOWN_KEY),
        ('orders', '', ResultCode.UNKNOWN_KEY),
        ('open', '', ResultCode.OK),
        ('open', 'wrong', ResultCode.OK),
    ],
)
def test_key_is_required_unless_service_is_public(
    service: str, key: str, code: ResultCode
) -> None:
    assert _request(_world(_bundle()), service, key) is code


def test_no_key_is_needed_without_customers() -> None:
    world = _world(replace(_bundle(), customers=()))
    assert _request(world, 'orders', '') is ResultCode.OK


@pytest.mark.parametrize(('asked', 'max_refused'), [(15, 0), (120, None)])
def test_quota_holds_over_all_entries(
    asked: float, max_refused: int | None
) -> None:
    # The quota is 20 per second with a burst of 10, over three entries.
    seconds = 5.0
    world = _world(_bundle())
    outcomes = []
    _set_key(world, 's')
    for number in range(int(asked * seconds)):
        world.clock.after(
            number / asked,
            lambda: outcomes.append(world.callers.request('orders', 'north')),
        )
    world.run_until(world.clock.now + seconds + 2)
    codes = Counter(outcome.code for outcome in outcomes)
    refused = codes[ResultCode.QUOTA_REACHED]
    assert codes[ResultCode.OK] + refused == len(outcomes)
    if max_refused is not None:
        assert refused <= max_refused
        return
    bound = 20 * seconds + 10
    assert 0.85 * bound < codes[ResultCode.OK] <= bound + 5
    waits = [
        one.retry_after for one in outcomes if one.code is not ResultCode.OK
    ]
    # A delay is at most 2 s plus jitter of up to 0.3 of it, and more than a
    # third of the delays are distinct.
    assert all(0 < wait <= 2.6 for wait in waits)
    assert len(set(waits)) > len(waits) / 3


def test_quota_holds_for_simultaneous_requests() -> None:
    # The burst is 10 above the rate, over three entries.
    world = _world(_bundle())
    _set_key(world, 's')
    outcomes = [world.callers.request('orders', 'north') for _ in range(60)]
    world.run_until(world.clock.now + 1)
    codes = Counter(outcome.code for outcome in outcomes)
    assert codes[ResultCode.OK] + codes[ResultCode.QUOTA_REACHED] == 60
    assert 10 <= codes[ResultCode.OK] <= 22


def test_retry_delays_over_quota_are_spread() -> None:
    world = _world(_bundle())
    _set_key(world, 's')
    for _ in range(60):
        world.callers.request('orders', 'north')
    world.run_until(world.clock.now + 0.15)
    outcomes = [world.callers.request('orders', 'north') for _ in range(30)]
    world.run_until(world.clock.now + 1)
    waits = [
        one.retry_after
        for one in outcomes
        if one.code is ResultCode.QUOTA_REACHED
    ]
    assert len(waits) > 20
    assert len(set(waits)) > len(waits) / 2


@pytest.mark.parametrize(
    ('customers', 'place', 'problem'),
    [
        (
            f'  - {{name: a, keys: [{_DIGESTS["s"]}]}}\n'
            f'  - {{name: b, keys: [{_DIGESTS["s"]}]}}\n',
            'customers.1.keys.0',
            'a holds this key',
        ),
        ('  - {name: a, keys: []}\n', 'customers.0.keys', 'a holds no key'),
        (
            f'  - {{name: a, keys: [{_DIGESTS["s"]}]}}\n'
            f'  - {{name: a, keys: [{_DIGESTS["old"]}]}}\n',
            'customers.1.name',
            'a is defined twice',
        ),
        ('  - {name: a, keys: [a-key]}\n', 'customers.0.keys.0', 'pattern'),
        (
            f'  - {{name: a, keys: [{_DIGESTS["s"]}], quota: {{rate: 0}}}}\n',
            'customers.0.quota.rate',
            'greater than 0',
        ),
        (
            f'  - {{name: a, keys: [{_DIGESTS["s"]}], '
            'quota: {rate: 1, burst: -1}}\n',
            'customers.0.quota.burst',
            'greater than or equal to 0',
        ),
    ],
)
def test_invalid_customers_are_reported(
    customers: str, place: str, problem: str
) -> None:
    faults = parse_bundle(_TEXT.format(customers=customers))
    assert isinstance(faults, BundleFaults)
    assert faults.code is ResultCode.INVALID_BUNDLE
    (fault,) = faults.faults
    assert fault.location == place
    assert problem in fault.problem


def test_customers_are_part_of_the_digest() -> None:
    bundle = _bundle()
    packed = pack_bundle(bundle)
    assert packed.digest != pack_bundle(replace(bundle, customers=())).digest
    unpacked = unpack_bundle(packed.digest, packed.chunks.get)
    assert isinstance(unpacked, Bundle)
    assert unpacked.customers == bundle.customers


def test_example_is_valid() -> None:
    path = Path(__file__).parents[1] / 'examples' / 'customers.yaml'
    bundle = parse_bundle(path.read_text())
    assert isinstance(bundle, Bundle)
    assert bundle.customers[0].keys == (digest_of_key(b'mill-key'),)


def test_customer_and_key_headers_of_callers_are_dropped() -> None:
    headers = HTTPHeaders(
        {'Worksrail-Key': 'old', 'worksrail-customer': 'forged', 'A': 'b'}
    )
    assert dict(end_to_end(headers)) == {'A': 'b'}


@pytest.mark.parametrize(
    ('trusted', 'customer'),
    [(False, ''), (True, 'acme')],
    ids=['from a caller', 'from another entry'],
)
def test_customer_header_is_trusted_only_from_entries(
    trusted: bool, customer: str
) -> None:
    events: list[RequestArrived] = []
    engine: Any = SimpleNamespace(now=lambda: 0.0, dispatch=events.append)
    pool = ConnectionPool(lambda: 0.0)
    requests = HttpRequests(engine, pool, pool, lambda: TicketSigner(('s',)))
    headers = HTTPHeaders(
        {
            'Host': 'orders.example',
            'Worksrail-Customer': 'acme',
            'Worksrail-Key': 'old',
        }
    )
    start = RequestStartLine('GET', '/', 'HTTP/1.1')
    connection: Any = None
    exchange = Exchange(connection, start, headers, '10.0.0.1', 't', 1)
    requests.arrived(exchange, trusted=trusted)
    (event,) = events
    assert event.head.customer == customer
    assert event.head.key_digest == _DIGESTS['old']
