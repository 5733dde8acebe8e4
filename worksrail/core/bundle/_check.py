"""Reads a bundle from YAML and names every fault with line and field."""

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
_HIGHEST_PORT: Final = 65_535

_ADAPTER: Final = TypeAdapter(Bundle)
_Location = tuple[int | str, ...]


@dataclass(frozen=True, slots=True)
class BundleFault:
    """One fault of a bundle file."""

    line: int
    """Line of the file, counted from one."""

    location: str
    """Dotted path of the field, ``services.0.host``."""

    problem: str
    """What was expected there."""


@dataclass(frozen=True, slots=True)
class BundleFaults:
    """A refused bundle: the code and every fault found."""

    code: ResultCode
    """``INVALID_BUNDLE`` or ``BUNDLE_TOO_LARGE``."""

    faults: tuple[BundleFault, ...]
    """All faults in the order of the file."""


def parse_bundle(text: str) -> Bundle | BundleFaults:
    """Read a bundle, or name all its faults.

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
        return _invalid([BundleFault(_yaml_line(error), '', _one_line(error))])
    lines = dict(_lines(node, ()))
    return _validate(document, lines)


def _validate(
    document: object,
    lines: dict[_Location, int],
) -> Bundle | BundleFaults:
    try:
        bundle = _ADAPTER.validate_python(document)
    except ValidationError as error:
        return _invalid(
            _fault(lines, _known(lines, problem['loc']), problem['msg'])
            for problem in error.errors(include_url=False)
        )
    faults = [
        _fault(lines, location, problem)
        for location, problem in _cross_faults(bundle)
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
    lines: dict[_Location, int],
    location: _Location,
    problem: str,
) -> BundleFault:
    known = location
    while known and known not in lines:
        known = known[:-1]
    path = '.'.join(str(part) for part in location)
    return BundleFault(lines.get(known, 1), path, problem)


def _known(lines: dict[_Location, int], location: _Location) -> _Location:
    # The validator adds parts of its own behind the field it speaks of.
    return location[:-1] if location and location[-1] == 'str' else location


def _one_line(error: Exception) -> str:
    return ' '.join(str(error).split())


def _yaml_line(error: Exception) -> int:
    mark = getattr(error, 'problem_mark', None)
    return mark.line + 1 if mark else 1


def _lines(
    node: yaml.Node | None,
    location: _Location,
) -> Iterator[tuple[_Location, int]]:
    if node is None:
        return
    yield location, node.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        for key, child in node.value:
            yield from _lines(child, (*location, str(key.value)))
            yield (*location, str(key.value)), key.start_mark.line + 1
    elif isinstance(node, yaml.SequenceNode):
        for index, element in enumerate(node.value):
            yield from _lines(element, (*location, index))


def _cross_faults(bundle: Bundle) -> Iterator[tuple[_Location, str]]:
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
    location: _Location,
    names: list[str],
) -> Iterator[tuple[_Location, str]]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield (*location, index, 'name'), f'{name} is defined twice'
        seen.add(name)


def _region_faults(
    bundle: Bundle,
    regions: set[str],
) -> Iterator[tuple[_Location, str]]:
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
) -> Iterator[tuple[_Location, str]]:
    seen: set[str] = set()
    names = [service.name for service in bundle.services]
    yield from _duplicates(('services',), names)
    for index, service in enumerate(bundle.services):
        location: _Location = ('services', index)
        if service.host in seen:
            yield (*location, 'host'), f'host {service.host} is taken'
        seen.add(service.host)
        yield from _upstream_faults(service, location, zones)
        yield from _cap_faults(service, location, regions)
    yield from _same_upstreams(bundle)


def _same_upstreams(bundle: Bundle) -> Iterator[tuple[_Location, str]]:
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
    location: _Location,
    zones: set[str],
) -> Iterator[tuple[_Location, str]]:
    for index, upstream in enumerate(service.upstreams):
        place = (*location, 'upstreams', index)
        if upstream.zone not in zones:
            yield (*place, 'zone'), f'no zone named {upstream.zone}'
        host, _, port = upstream.address.partition(':')
        if not _is_address(host) or not 0 < int(port) <= _HIGHEST_PORT:
            yield (
                (*place, 'address'),
                f'expected an IP number and a port, got {upstream.address}',
            )


def _cap_faults(
    service: Service,
    location: _Location,
    regions: set[str],
) -> Iterator[tuple[_Location, str]]:
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
) -> Iterator[tuple[_Location, str]]:
    for index, block in enumerate(bundle.client_blocks):
        place = ('client_blocks', index)
        if block.zone not in zones:
            yield (*place, 'zone'), f'no zone named {block.zone}'
        try:
            ipaddress.ip_network(block.block)
        except ValueError as error:
            yield (*place, 'block'), str(error)


def _customer_faults(bundle: Bundle) -> Iterator[tuple[_Location, str]]:
    names = [customer.name for customer in bundle.customers]
    yield from _duplicates(('customers',), names)
    holders: dict[str, str] = {}
    for index, customer in enumerate(bundle.customers):
        location: _Location = ('customers', index, 'keys')
        if not customer.keys:
            yield location, f'{customer.name} holds no key'
        for position, key in enumerate(customer.keys):
            holder = holders.setdefault(key, customer.name)
            if holder != customer.name:
                yield (*location, position), f'{holder} holds this key'


def _drain_faults(
    bundle: Bundle,
    zones: set[str],
) -> Iterator[tuple[_Location, str]]:
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
