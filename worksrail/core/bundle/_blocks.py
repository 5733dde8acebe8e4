"""An index from caller addresses to zones, in packed sorted arrays.

Nested blocks are flattened into disjoint intervals when the index is built,
so that a look-up is one binary search.  An IPv4 interval takes six bytes.
"""

import ipaddress
import socket
from array import array
from bisect import bisect_right
from collections.abc import Iterable, MutableSequence, Sequence
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from worksrail.core.bundle._model import ClientBlock
from worksrail.core.identity import ZoneName

_NO_ZONE_NUMBER: Final = 0
_ADDRESS_BITS: Final = {4: 32, 6: 128}
_Interval = tuple[int, int, int]


@unique
class NoZone(Enum):
    """Sentinel: why an address has no zone."""

    UNMAPPED = 'no client block contains the address'
    NOT_AN_ADDRESS = 'the text is not an IP address'


@dataclass(slots=True)
class _AddressFamily:
    """Disjoint intervals of one address family, sorted by their starts."""

    starts: Sequence[int] = ()
    zones: Sequence[int] = field(default_factory=lambda: array('H'))

    def find(self, address: int) -> int:
        position = bisect_right(self.starts, address) - 1
        return self.zones[position] if position >= 0 else _NO_ZONE_NUMBER


@dataclass(slots=True)
class BlockIndex:
    """Zones of caller addresses.

    >>> index = BlockIndex.from_blocks([ClientBlock('10.0.0.0/8', 'ala')])
    >>> index.zone_of('10.1.2.3')
    'ala'
    >>> index.zone_of('11.0.0.0')
    <NoZone.UNMAPPED: 'no client block contains the address'>
    """

    names: list[ZoneName]
    """Zone names by number; number zero stands for no zone."""

    families: dict[int, _AddressFamily]
    """Intervals by IP version."""

    @classmethod
    def from_blocks(cls, blocks: Iterable[ClientBlock]) -> 'BlockIndex':
        """Build the index of a bundle's client blocks."""
        numbers: dict[ZoneName, int] = {}
        ranges: dict[int, list[_Interval]] = {4: [], 6: []}
        for block in blocks:
            number = numbers.setdefault(block.zone, len(numbers) + 1)
            version, first, last = block_range(block.block)
            ranges[version].append((first, last, number))
        return cls.from_ranges(['', *numbers], ranges)

    @classmethod
    def from_ranges(
        cls,
        names: list[ZoneName],
        ranges: dict[int, list[_Interval]],
    ) -> 'BlockIndex':
        """Build the index from ranges that may nest but not partly overlap."""
        families = {
            version: _pack_intervals(intervals, version)
            for version, intervals in ranges.items()
        }
        return cls(names, families)

    def zone_of(self, text: str) -> ZoneName | NoZone:
        """Return the zone of the longest block that contains an address."""
        try:
            address = ipaddress.ip_address(text)
        except ValueError:
            return NoZone.NOT_AN_ADDRESS
        family = self.families.get(address.version)
        number = family.find(int(address)) if family else _NO_ZONE_NUMBER
        return self.names[number] if number else NoZone.UNMAPPED


def block_range(text: str) -> tuple[int, int, int]:
    """Return IP version, first and last address of a block in CIDR notation.

    Raises ``ValueError``.  IPv4 has a fast path, as there are millions of
    blocks.

    >>> block_range('0.0.0.16/28')
    (4, 16, 31)
    """
    address, slash, length = text.partition('/')
    if ':' in address or not slash or not length.isdigit():
        network = ipaddress.ip_network(text)
        first = int(network.network_address)
        return network.version, first, int(network.broadcast_address)
    bits = int(length)
    try:
        first = int.from_bytes(socket.inet_pton(socket.AF_INET, address))
    except OSError as error:
        raise ValueError(f'expected a block, got {text}') from error
    if bits > _ADDRESS_BITS[4]:
        raise ValueError(
            f'expected at most {_ADDRESS_BITS[4]} bits, got {text}'
        )
    hosts = (1 << (_ADDRESS_BITS[4] - bits)) - 1
    if first & hosts:
        raise ValueError(f'{text} has host bits set')
    return 4, first, first | hosts


def _pack_intervals(intervals: list[_Interval], version: int) -> _AddressFamily:
    # Outer blocks sort before the blocks nested in them.
    intervals.sort(key=lambda interval: (interval[0], -interval[1]))
    starts: MutableSequence[int] = array('I') if version == 4 else []
    zones = array('H')
    limit = 1 << _ADDRESS_BITS[version]
    for start, zone in _flatten(intervals):
        if start == limit:
            continue  # past the last address
        if starts and starts[-1] == start:
            zones[-1] = zone
        elif not zones or zones[-1] != zone:
            starts.append(start)
            zones.append(zone)
    return _AddressFamily(starts, zones)


def _flatten(intervals: list[_Interval]) -> Iterable[tuple[int, int]]:
    open_blocks: list[_Interval] = []
    for interval in intervals:
        while open_blocks and open_blocks[-1][1] < interval[0]:
            ended = open_blocks.pop()
            yield ended[1] + 1, _innermost_zone(open_blocks)
        open_blocks.append(interval)
        yield interval[0], interval[2]
    while open_blocks:
        ended = open_blocks.pop()
        yield ended[1] + 1, _innermost_zone(open_blocks)


def _innermost_zone(open_blocks: list[_Interval]) -> int:
    return open_blocks[-1][2] if open_blocks else _NO_ZONE_NUMBER
