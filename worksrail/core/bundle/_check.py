"""Parse and validate a bundle, reporting each fault with line and field."""

import ipaddress
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

import yaml
from pydantic import TypeAdapter, ValidationError

from worksrail.core.bundle._model import (
    FORMAT,
    MAX_BUNDLE_FAULTS,
    Bundle,
    DrainKind,
    Service,
)
from worksrail.core.results import ResultCode

MAX_BUNDLE_BYTES: Final = 1_000_000
_MAX_PORT: Final = 65_535

_ADAPTER: Final = TypeAdapter(Bundle)
_FieldPath = tuple[int | str, ...]


@dataclass(frozen=True, slots=True)
class BundleFault:
    """A fault in a bundle file."""

    line: int
    """Line of the file, counted from one."""

    location: str
    """Dotted path of the field, such as ``services.0.host``."""

    problem: str
    """What was expected, or what is wrong."""


@dataclass(frozen=True, slots=True)
class BundleFaults:
    """A refused bundle: the result code and all faults."""

    code: ResultCode
    """``INVALID_BUNDLE`` or ``BUNDLE_TOO_LARGE``."""

    faults: tuple[BundleFault, ...]
    """Faults in the order of the file, at most ``MAX_BUNDLE_FAULTS``."""


def parse_bundle(text: str) -> Bundle | BundleFaults:
    """Parse a bundle; return its faults if it is invalid.

    >>> parse_bundle('format: worksrail/1').code.number
    5001
    """
    if len(text.encode()) > MAX_BUNDLE_BYTES:
        problem = f'expected at most {MAX_BUNDLE_BYTES} bytes'
        return BundleFaults(
            ResultCode.BUNDLE_TOO_LARGE,
            (BundleFault(1, '', problem),),
        )
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        document = yaml.safe_load(text)
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        return _invalid(
            [BundleFault(_yaml_line(error), '', _single_line(error))]
        )
    lines = dict(_line_numbers(node, ()))
    return _validate(document, lines)


def _validate(
    document: object,
    lines: dict[_FieldPath, int],
) -> Bundle | BundleFaults:
    try:
        bundle = _ADAPTER.validate_python(document)
    except ValidationError as error:
        return _invalid(
            _fault(lines, _field_path(lines, problem['loc']), problem['msg'])
            for problem in error.errors(include_url=False)
        )
    faults = [
        _fault(lines, location, problem)
        for location, problem in _consistency_faults(bundle)
    ]
    return _invalid(faults) if faults else bundle


def validate_document(document: object) -> Bundle | BundleFaults:
    """Validate an already decoded bundle document."""
    return _validate(document, {})


def _invalid(faults: Iterable[BundleFault]) -> BundleFaults:
    ordered = sorted(faults, key=lambda fault: (fault.line, fault.location))
    return BundleFaults(
        ResultCode.INVALID_BUNDLE,
        tuple(ordered[:MAX_BUNDLE_FAULTS]),
    )


def _fault(
    lines: dict[_FieldPath, int],
    location: _FieldPath,
    problem: str,
) -> BundleFault:
    known = location
    while known and known not in lines:
        known = known[:-1]
    path = '.'.join(str(part) for part in location)
    return BundleFault(lines.get(known, 1), path, problem)


def _field_path(
    lines: dict[_FieldPath, int], location: _FieldPath
) -> _FieldPath:
    # For some strings the validator appends a type name to the field's path.
    return location[:-1] if location and location[-1] == 'str' else location


def _single_line(error: Exception) -> str:
    return ' '.join(str(error).split())


def _yaml_line(error: Exception) -> int:
    mark = getattr(error, 'problem_mark', None)
    return mark.line + 1 if mark else 1


def _line_numbers(
    node: yaml.Node | None,
    location: _FieldPath,
) -> Iterator[tuple[_FieldPath, int]]:
    if node is None:
        return
    yield location, node.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        for key, child in node.value:
            yield from _line_numbers(child, (*location, str(key.value)))
            yield (*location, str(key.value)), key.start_mark.line + 1
    elif isinstance(node, yaml.SequenceNode):
        for index, element in enumerate(node.value):
            yield from _line_numbers(element, (*location, index))


def _consistency_faults(bundle: Bundle) -> Iterator[tuple[_FieldPath, str]]:
    if bundle.format != FORMAT:
        yield ('format',), f'expected {FORMAT}, got {bundle.format}'
    regions = {region.name for region in bundle.regions}
    zones = {zone.name for zone in bundle.zones}
    yield from _duplicates(('regions',), [reg.name for reg in bundle.regions])
    yield from _duplicates(('zones',), [zone.name for zone in bundle.zones])
    yield from _region_faults(bundle, regions)
    yield from _service_faults(bundle, regions, zones)
    yield from _block_faults(bundle, zones)
    yield from _drain_faults(bundle, zones)
    yield from _customer_faults(bundle)


def _duplicates(
    location: _FieldPath,
    names: list[str],
) -> Iterator[tuple[_FieldPath, str]]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield (*location, index, 'name'), f'{name} is defined twice'
        seen.add(name)


def _region_faults(
    bundle: Bundle,
    regions: set[str],
) -> Iterator[tuple[_FieldPath, str]]:
    for index, region in enumerate(bundle.regions):
        for position, name in enumerate(region.fallbacks):
            if name not in regions or name == region.name:
                yield (
                    ('regions', index, 'fallbacks', position),
                    f'expected another region, got {name}',
                )
    for number, zone in enumerate(bundle.zones):
        if zone.region not in regions:
            yield (
                ('zones', number, 'region'),
                f'no region named {zone.region}',
            )


def _service_faults(
    bundle: Bundle,
    regions: set[str],
    zones: set[str],
) -> Iterator[tuple[_FieldPath, str]]:
    seen: set[str] = set()
    names = [service.name for service in bundle.services]
    yield from _duplicates(('services',), names)
    for index, service in enumerate(bundle.services):
        location: _FieldPath = ('services', index)
        if service.host in seen:
            yield (*location, 'host'), f'host {service.host} is taken'
        seen.add(service.host)
        yield from _upstream_faults(service, location, zones)
        yield from _cap_faults(service, location, regions)
    yield from _duplicate_upstreams(bundle)


def _duplicate_upstreams(bundle: Bundle) -> Iterator[tuple[_FieldPath, str]]:
    seen: set[str] = set()
    for index, service in enumerate(bundle.services):
        for position, upstream in enumerate(service.upstreams):
            if upstream.name in seen:
                yield (
                    ('services', index, 'upstreams', position, 'name'),
                    f'{upstream.name} is defined twice',
                )
            seen.add(upstream.name)


def _upstream_faults(
    service: Service,
    location: _FieldPath,
    zones: set[str],
) -> Iterator[tuple[_FieldPath, str]]:
    for index, upstream in enumerate(service.upstreams):
        place = (*location, 'upstreams', index)
        if upstream.zone not in zones:
            yield (*place, 'zone'), f'no zone named {upstream.zone}'
        host, _, port = upstream.address.partition(':')
        if not _is_address(host) or not 0 < int(port) <= _MAX_PORT:
            yield (
                (*place, 'address'),
                f'expected an IP number and a port, got {upstream.address}',
            )


def _cap_faults(
    service: Service,
    location: _FieldPath,
    regions: set[str],
) -> Iterator[tuple[_FieldPath, str]]:
    pairs: set[tuple[str, str]] = set()
    for index, cap in enumerate(service.shift_caps):
        place = (*location, 'shift_caps', index)
        pair = (cap.source, cap.target)
        if cap.source not in regions:
            yield (*place, 'source'), f'no region named {cap.source}'
        if cap.target not in regions or cap.target == cap.source:
            yield (
                (*place, 'target'),
                f'expected another region, got {cap.target}',
            )
        if pair in pairs:
            yield place, f'a cap from {cap.source} to {cap.target} stands'
        pairs.add(pair)


def _block_faults(
    bundle: Bundle,
    zones: set[str],
) -> Iterator[tuple[_FieldPath, str]]:
    for index, block in enumerate(bundle.client_blocks):
        place = ('client_blocks', index)
        if block.zone not in zones:
            yield (*place, 'zone'), f'no zone named {block.zone}'
        try:
            ipaddress.ip_network(block.block)
        except ValueError as error:
            yield (*place, 'block'), str(error)


def _customer_faults(bundle: Bundle) -> Iterator[tuple[_FieldPath, str]]:
    names = [customer.name for customer in bundle.customers]
    yield from _duplicates(('customers',), names)
    holders: dict[str, str] = {}
    for index, customer in enumerate(bundle.customers):
        location: _FieldPath = ('customers', index, 'keys')
        if not customer.keys:
            yield location, f'{customer.name} holds no key'
        for position, key in enumerate(customer.keys):
            holder = holders.setdefault(key, customer.name)
            if holder != customer.name:
                yield (*location, position), f'{holder} holds this key'


def _drain_faults(
    bundle: Bundle,
    zones: set[str],
) -> Iterator[tuple[_FieldPath, str]]:
    upstreams = {
        upstream.name
        for service in bundle.services
        for upstream in service.upstreams
    }
    known = {DrainKind.UPSTREAM: upstreams, DrainKind.ZONE: zones}
    for index, drain in enumerate(bundle.drains):
        if drain.kind in known and drain.name not in known[drain.kind]:
            yield (
                ('drains', index, 'name'),
                f'no {drain.kind.value} named {drain.name}',
            )


def _is_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
