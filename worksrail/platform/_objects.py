"""Objects of the platform's store, decoded into the product's types."""

from typing import Any, Final

from worksrail.core.steering import (
    CallerLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServicePolicy,
    ServiceWeight,
    UpstreamRecord,
)
from worksrail.platform._fields import Fields, MalformedDocumentError

_ROUTE_KINDS: Final = {
    'safe': RouteKind.IDEMPOTENT,
    'unsafe': RouteKind.AT_MOST_ONCE,
    'download': RouteKind.DOWNLOAD,
}
_DRAINING: Final = 'draining'
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
    """Decode one entry of the upstreams; its name is the upstream's id."""
    fields = Fields.from_value(spec, f'servers/{name}')
    description = fields.part('Info')
    # The state may stand beside the description or in the object's status.
    report = Fields.from_value(
        fields.table.get('Status') or status, f'servers/{name} status'
    )
    return UpstreamRecord(
        name,
        description.text('Service'),
        fields.text('Address'),
        description.text('Zone'),
        description.whole('Slots'),
        report.text('State') == _DRAINING,
        report.whole('Sequence', 0),
        report.number('ColdRemainingS', 0),
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
