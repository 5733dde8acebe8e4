"""Compression of messages between entries, and rejection of invalid data."""

import msgspec
import pytest

from tests.steering.world import upstream
from worksrail.core.steering import StoreUpdate
from worksrail.daemon.steered._packing import pack, unpack


@pytest.mark.parametrize('size', [0, 10, 399, 400, 100_000])
def test_payload_round_trip(size: int) -> None:
    payload = b'\x93' + bytes(size)
    assert unpack(pack(payload), 1_000_000) == payload


def test_update_of_many_upstreams_is_small() -> None:
    # A link of 10 Mbit/s takes 0.2 s for 3,000 uncompressed upstreams.
    records = tuple(
        upstream(
            f'i-{number * 2654435761 % 2**40:010x}',
            address=f'10.{number % 250}.{number // 250}.{number % 7}:8445',
            zone=f'zone-{number % 6}',
            sequence=number,
        )
        for number in range(3000)
    )
    payload = msgspec.msgpack.encode(StoreUpdate(9, records=records))
    assert len(pack(payload)) < len(payload) / 3


@pytest.mark.parametrize('packed', [b'x', b'xyz', b'x\x9c\x00\x01'])
def test_bytes_that_are_not_compressed(packed: bytes) -> None:
    with pytest.raises(ValueError, match='compressed'):
        unpack(packed, 100)


def test_payload_is_truncated_at_the_maximum_size() -> None:
    assert len(unpack(pack(bytes(100_000)), 1000)) == 1000
