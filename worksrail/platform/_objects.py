"""Decoding of the objects in the platform's store."""

import re
from ipaddress import AddressValueError, IPv4Address
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
from worksrail.platform._fields import (
    Fields,
    MalformedDocumentError,
    shown,
)

_ROUTE_KINDS: Final = {
    'safe': RouteKind.IDEMPOTENT,
    'unsafe': RouteKind.AT_MOST_ONCE,
    'download': RouteKind.DOWNLOAD,
}
# Whether an upstream in each state is draining.
_DRAINING_BY_STATE: Final = {'ready': False, 'draining': True}
_PORT: Final = re.compile('[0-9]{1,5}')
_MAX_PORT: Final = 65_535
# Addresses of one zone's record that are read.
_MAX_ENTRY_ADDRESSES: Final = 64
_VERSION: Final = re.compile('r[0-9]{1,18}')
# Seconds; a shorter timeout would refuse every request of its route.
_MIN_TIMEOUT: Final = 0.001
_DEFAULT_TIMEOUT: Final = 60.0
_DEFAULT_MAX_ATTEMPTS: Final = 2


def decode_configuration(spec: Any) -> RoutingConfiguration:
    """Decode ``config/main``; raise ``MalformedDocumentError`` if malformed."""
    fields = Fields.from_value(spec, 'config/main')
    services = [_decode_service(row) for row in fields.rows('Services')]
    names = {service.name for service in services}
    routes = [_decode_route(row, names) for row in fields.rows('Routes')]
    return RoutingConfiguration.from_routes(
        decode_version(fields.string('Version')),
        routes,
        services,
        _decode_limits(fields.nested('Limits')),
        _decode_customers(fields),
    )


def decode_version(text: str) -> int:
    """Return the number of a version, written as ``r`` and digits.

    >>> decode_version('r12')
    12
    """
    if not _VERSION.fullmatch(text):
        raise MalformedDocumentError(f'expected a version, got {shown(text)!r}')
    return int(text[1:])


def decode_upstream(name: str, spec: Any, status: Any) -> UpstreamRecord:
    """Decode the discovery entry of an upstream, named by the upstream's id.

    Entries may be written by other software: one that lacks a field or has an
    unknown state raises ``MalformedDocumentError``.
    """
    fields = Fields.from_value(spec, f'servers/{name}')
    description = fields.nested('Info')
    # Checked for presence only; no decision depends on it.
    description.string('Version')
    # The status may be part of the spec or of the object itself.
    report = Fields.from_value(
        fields.table.get('Status') or status, f'servers/{name} status'
    )
    # Start time in Unix milliseconds; some deployments do not set it.
    born = fields.integer_from('born', 0, 0)
    return UpstreamRecord(
        incarnation_name(name, born),
        description.string('Service'),
        _decode_address(fields),
        description.string('Zone'),
        description.integer_from('Slots', 1),
        _parse_draining(report),
        report.integer_from('Sequence', 0),
        report.number_in_range('ColdRemainingS', 0, inf),
        name,
        born,
    )


def decode_entry_addresses(spec: Any) -> tuple[str, ...]:
    """Decode the peer addresses of a zone's entries, without unusable ones."""
    fields = Fields.from_value(spec, 'entries')
    listed = fields.strings('Addresses')[:_MAX_ENTRY_ADDRESSES]
    return tuple(address for address in listed if _is_address(address))


def encode_entry_addresses(
    zone: str, addresses: tuple[str, ...]
) -> dict[str, Any]:
    """Encode the record of a zone's entries."""
    return {'Metadata': {'Name': zone}, 'Spec': {'Addresses': addresses}}


def _decode_address(fields: Fields) -> str:
    address = fields.string('Address')
    host, _, port = address.rpartition(':')
    if not (_is_ip_address(host) and _PORT.fullmatch(port)):
        raise fields.error('Address', 'an IPv4 address and a port')
    if not _is_address(address):
        raise fields.error('Address', 'a valid port')
    return address


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(':')
    if not (_is_ip_address(host) and _PORT.fullmatch(port)):
        return False
    return 0 < int(port) <= _MAX_PORT


def _is_ip_address(host: str) -> bool:
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return True


def _parse_draining(report: Fields) -> bool:
    drains = _DRAINING_BY_STATE.get(report.string('State'))
    if drains is None:
        raise report.error('State', 'a known state')
    return drains


def _decode_customers(fields: Fields) -> CustomerTable | None:
    if fields.table.get('Tenants') is None:
        return None
    customers = [_decode_customer(row) for row in fields.rows('Tenants')]
    try:
        return CustomerTable.from_customers(customers)
    except DuplicateKeyError as error:
        raise MalformedDocumentError(f'{error} at {fields.location}') from error


def _decode_customer(row: Fields) -> Customer:
    priority = row.integer('Priority') if 'Priority' in row.table else None
    rate = row.number_in_range('RatePerS', 0, inf, 0)
    burst = row.number_in_range('Burst', 0, inf, 0)
    return Customer(
        row.string('Name'),
        tuple(digest_of_key(key.encode()) for key in row.strings('ApiKeys')),
        frozenset(row.strings('AllowedRegions')),
        priority,
        Quota(rate, burst) if rate else None,
    )


def _decode_service(row: Fields) -> ServicePolicy:
    return ServicePolicy(
        row.string('Name'),
        row.integer('MaxConnections', 0),
        row.number('ColdStartS', 0),
        row.number('ColdPerS', 0),
        row.string('HealthPath') if row.table.get('HealthPath') else '/',
    )


def _decode_route(row: Fields, services: set[str]) -> Route:
    kind = _ROUTE_KINDS.get(row.string('RouteType'))
    if kind is None:
        raise MalformedDocumentError(f'unknown route type at {row.location}')
    prefix = row.string('PathPrefix')
    if not (prefix.startswith('/') and prefix.endswith('/')):
        raise MalformedDocumentError(
            f'expected a prefix between slashes at {row.location}'
        )
    return Route(
        row.string('Name'),
        row.string('Host').lower(),
        prefix,
        kind,
        row.number_in_range('TimeoutS', _MIN_TIMEOUT, inf, _DEFAULT_TIMEOUT),
        row.number_in_range('TargetLatencyS', 0, inf, _DEFAULT_TIMEOUT),
        row.integer('Priority', 0),
        _decode_traffic_split(row, services),
        row.integer('MaxAttempts', _DEFAULT_MAX_ATTEMPTS),
        row.flag('SessionAffinity'),
        frozenset(row.strings('AllowedRegions')),
        row.flag('Public'),
    )


def _decode_traffic_split(
    row: Fields, services: set[str]
) -> tuple[ServiceWeight, ...]:
    split = row.table.get('TrafficSplit')
    if split:
        if not isinstance(split, list):
            raise row.error('TrafficSplit', 'a list')
        entries = [
            Fields.from_value(entry, f'{row.location}.TrafficSplit')
            for entry in split
        ]
        parts = tuple(
            ServiceWeight(
                entry.string('Service'),
                entry.number_in_range('Weight', 0, inf),
            )
            for entry in entries
        )
    else:
        parts = (ServiceWeight(row.string('Service'), 1),)
    for part in parts:
        if part.service not in services:
            raise MalformedDocumentError(f'unknown service at {row.location}')
    weights = [part.weight for part in parts]
    if sum(weights) <= 0:
        raise MalformedDocumentError(
            f'expected weights with a positive sum at {row.location}'
        )
    return parts


def _decode_limits(fields: Fields) -> CallerLimits:
    return CallerLimits(
        fields.integer('MaxHeaderBytes'),
        fields.integer('MaxBodyBytes'),
        fields.number('HeaderTimeoutS'),
        fields.number('IdleTimeoutS'),
    )
