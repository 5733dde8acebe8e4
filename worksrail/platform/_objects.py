"""Objects of the platform's store, decoded into the product's types."""

from math import inf
from typing import Any, Final

from worksrail.core.customers import (
    Customer,
    CustomerTable,
    DuplicateKeyError,
    Quota,
    digest_of_key,
)
from worksrail.core.steering import (
    CallerLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServicePolicy,
    ServiceWeight,
    UpstreamRecord,
    incarnation_name,
)
from worksrail.platform._fields import Fields, MalformedDocumentError

_ROUTE_KINDS: Final = {
    'safe': RouteKind.IDEMPOTENT,
    'unsafe': RouteKind.AT_MOST_ONCE,
    'download': RouteKind.DOWNLOAD,
}
# Whether an upstream in a state takes no new requests.
_DRAINS: Final = {'ready': False, 'draining': True}
_HIGHEST_PORT: Final = 65_535
_DEFAULT_TIMEOUT: Final = 60.0
_DEFAULT_ATTEMPTS: Final = 2


def decode_configuration(spec: Any) -> RoutingConfiguration:
    """Decode ``config/main``; raises ``MalformedDocumentError``."""
    fields = Fields.from_value(spec, 'config/main')
    services = [_service(row) for row in fields.rows('Services')]
    names = {service.name for service in services}
    routes = [_route(row, names) for row in fields.rows('Routes')]
    return RoutingConfiguration.from_routes(
        decode_version(fields.text('Version')),
        routes,
        services,
        _limits(fields.part('Limits')),
        _customers(fields),
    )


def decode_version(text: str) -> int:
    """Number of a version, which is written as ``r`` and digits.

    >>> decode_version('r12')
    12
    """
    if not text.startswith('r') or not text[1:].isdigit():
        raise MalformedDocumentError(f'expected a version, got {text!r}')
    return int(text[1:])


def decode_upstream(name: str, spec: Any, status: Any) -> UpstreamRecord:
    """Decode one entry of the upstreams; its name is the upstream's id.

    Others may have written it: an entry that lacks a field, or whose state is
    not one of those known, raises ``MalformedDocumentError``.
    """
    fields = Fields.from_value(spec, f'servers/{name}')
    description = fields.part('Info')
    # Only its presence is checked: no decision rests on it.
    description.text('Version')
    # The state may stand beside the description or in the object's status.
    report = Fields.from_value(
        fields.table.get('Status') or status, f'servers/{name} status'
    )
    # Unix milliseconds of the start; not told on every deployment.
    born = fields.whole_from('born', 0, 0)
    return UpstreamRecord(
        incarnation_name(name, born),
        description.text('Service'),
        _address(fields),
        description.text('Zone'),
        description.whole_from('Slots', 1),
        _drains(report),
        report.whole_from('Sequence', 0),
        report.number_between('ColdRemainingS', 0, inf),
        name,
        born,
    )


def _address(fields: Fields) -> str:
    address = fields.text('Address')
    host, _, port = address.rpartition(':')
    if not host or not (port.isascii() and port.isdigit()):
        raise fields.fault('Address', 'an IP number and a port')
    if not 0 < int(port) <= _HIGHEST_PORT:
        raise fields.fault('Address', 'a port that exists')
    return address


def _drains(report: Fields) -> bool:
    drains = _DRAINS.get(report.text('State'))
    if drains is None:
        raise report.fault('State', 'a known state')
    return drains


def _customers(fields: Fields) -> CustomerTable | None:
    if fields.table.get('Tenants') is None:
        return None
    customers = [_customer(row) for row in fields.rows('Tenants')]
    try:
        return CustomerTable.from_customers(customers)
    except DuplicateKeyError as error:
        raise MalformedDocumentError(f'{error} at {fields.where}') from error


def _customer(row: Fields) -> Customer:
    priority = row.whole('Priority') if 'Priority' in row.table else None
    rate = row.number_between('RatePerS', 0, inf, 0)
    burst = row.number_between('Burst', 0, inf, 0)
    return Customer(
        row.text('Name'),
        tuple(digest_of_key(key.encode()) for key in row.texts('ApiKeys')),
        frozenset(row.texts('AllowedRegions')),
        priority,
        Quota(rate, burst) if rate else None,
    )


def _service(row: Fields) -> ServicePolicy:
    return ServicePolicy(
        row.text('Name'),
        row.whole('MaxConnections', 0),
        row.number('ColdStartS', 0),
        row.number('ColdPerS', 0),
    )


def _route(row: Fields, services: set[str]) -> Route:
    kind = _ROUTE_KINDS.get(row.text('RouteType'))
    if kind is None:
        raise MalformedDocumentError(f'unknown kind of route at {row.where}')
    prefix = row.text('PathPrefix')
    if not (prefix.startswith('/') and prefix.endswith('/')):
        raise MalformedDocumentError(f'expected slashes at {row.where}')
    return Route(
        row.text('Name'),
        row.text('Host').lower(),
        prefix,
        kind,
        row.number('TimeoutS', _DEFAULT_TIMEOUT),
        row.number('TargetLatencyS', _DEFAULT_TIMEOUT),
        row.whole('Priority', 0),
        _parts(row, services),
        row.whole('MaxAttempts', _DEFAULT_ATTEMPTS),
        row.flag('SessionAffinity'),
        frozenset(row.texts('AllowedRegions')),
        row.flag('Public'),
    )


def _parts(row: Fields, services: set[str]) -> tuple[ServiceWeight, ...]:
    split = row.table.get('TrafficSplit')
    if split:
        entries = [
            Fields.from_value(entry, f'{row.where}.TrafficSplit')
            for entry in split
        ]
        parts = tuple(
            ServiceWeight(entry.text('Service'), entry.number('Weight'))
            for entry in entries
        )
    else:
        parts = (ServiceWeight(row.text('Service'), 1),)
    for part in parts:
        if part.service not in services:
            raise MalformedDocumentError(f'unknown service at {row.where}')
    weights = [part.weight for part in parts]
    if min(weights) < 0 or sum(weights) <= 0:
        raise MalformedDocumentError(f'expected weights at {row.where}')
    return parts


def _limits(fields: Fields) -> CallerLimits:
    return CallerLimits(
        fields.whole('MaxHeaderBytes'),
        fields.whole('MaxBodyBytes'),
        fields.number('HeaderTimeoutS'),
        fields.number('IdleTimeoutS'),
    )
