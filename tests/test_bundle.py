"""Bundles: reported faults, digests, client blocks against a linear search."""

import ipaddress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.conftest import SMALL_BUNDLE
from worksrail.core.bundle import (
    Bundle,
    BundleFaults,
    ClientBlock,
    NoBundle,
    pack_bundle,
    parse_bundle,
    unpack_bundle,
)
from worksrail.core.bundle._blocks import BlockIndex, NoZone

_FAULTS = {
    'unknown field': (
        'answer_age: 1',
        'answer_age: 1\ncolour: red',
        5,
        'colour',
    ),
    'wrong type': ('answer_age: 1', 'answer_age: soon', 4, 'answer_age'),
    'unknown zone': (
        'zone: north-a, slots: 4}\n      -',
        'zone: x, slots: 4}\n      -',
        14,
        'services.0.upstreams.0.zone',
    ),
    'no slots': (
        'slots: 4}\n      -',
        'slots: 0}\n      -',
        14,
        'services.0.upstreams.0.slots',
    ),
    'bad address': (
        '127.30.1.1:9300',
        'host.example:80',
        14,
        'services.0.upstreams.0.address',
    ),
    'duplicate name': (
        'orders-2',
        'orders-1',
        15,
        'services.0.upstreams.1.name',
    ),
    'unknown region': ('region: north}', 'region: south}', 8, 'zones.0.region'),
    'bad format': ('worksrail/1', 'worksrail/9', 2, 'format'),
}


@pytest.mark.parametrize('case', _FAULTS)
def test_faults_report_line_and_field(case: str) -> None:
    old, new, line, location = _FAULTS[case]
    result = parse_bundle(SMALL_BUNDLE.replace(old, new, 1))
    assert isinstance(result, BundleFaults)
    assert (line, location) in {
        (fault.line, fault.location) for fault in result.faults
    }


def test_all_faults_are_reported_at_once() -> None:
    text = SMALL_BUNDLE.replace('slots: 4', 'slots: -1').replace(
        'deadline: 3', 'deadline: never'
    )
    result = parse_bundle(text)
    assert isinstance(result, BundleFaults)
    assert len(result.faults) == 3


@pytest.mark.parametrize('text', ['', '[1, 2', '{a: {b: c', '\x00', 'a: &a *a'])
def test_invalid_documents_are_refused(text: str) -> None:
    assert isinstance(parse_bundle(text), BundleFaults)


def _bundle() -> Bundle:
    bundle = parse_bundle(SMALL_BUNDLE)
    assert isinstance(bundle, Bundle)
    return bundle


def test_unpacking_restores_the_bundle() -> None:
    packed = pack_bundle(_bundle())
    assert unpack_bundle(packed.digest, packed.chunks.get) == _bundle()


def test_corrupt_chunks_are_detected() -> None:
    packed = pack_bundle(_bundle())
    for digest, payload in packed.chunks.items():
        corrupted = {**packed.chunks, digest: payload + b' '}
        result = unpack_bundle(packed.digest, corrupted.get)
        assert result is NoBundle.WRONG_DIGEST


def test_missing_chunks_are_detected() -> None:
    packed = pack_bundle(_bundle())
    for digest in packed.chunks:
        remaining = {**packed.chunks}
        remaining.pop(digest)
        result = unpack_bundle(packed.digest, remaining.get)
        assert result is NoBundle.MISSING_CHUNK


_networks = st.builds(
    lambda address, length: ipaddress.ip_network(
        (address >> (32 - length) << (32 - length) if length else 0, length)
    ),
    st.integers(0, 2**32 - 1),
    st.integers(0, 32),
)


@given(
    st.lists(st.tuples(_networks, st.sampled_from('abc')), max_size=12),
    st.lists(st.integers(0, 2**32 - 1), max_size=8),
)
def test_blocks_agree_with_a_linear_search(
    blocks: list[tuple[ipaddress.IPv4Network, str]],
    addresses: list[int],
) -> None:
    unique = {str(network): zone for network, zone in blocks}
    index = BlockIndex.from_blocks(
        ClientBlock(block, zone) for block, zone in unique.items()
    )
    edges = [int(network.network_address) for network, _ in blocks]
    edges += [int(network.broadcast_address) for network, _ in blocks]
    edges += [edge + 1 for edge in edges if edge < 2**32 - 1]
    for number in addresses + edges:
        address = ipaddress.ip_address(number)
        assert index.zone_of(str(address)) == _linear_search(unique, address)


def _linear_search(
    blocks: dict[str, str],
    address: ipaddress.IPv4Address | ipaddress.IPv6Address,
) -> str | NoZone:
    containing = [
        (ipaddress.ip_network(block).prefixlen, zone)
        for block, zone in blocks.items()
        if address in ipaddress.ip_network(block)
    ]
    return max(containing)[1] if containing else NoZone.UNMAPPED
