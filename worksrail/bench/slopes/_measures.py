"""Measurements that need no daemon; each runs in a process of its own."""

import random
import resource
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from worksrail.bench.world import Traffic, World, WorldPlan
from worksrail.core.bundle import (
    Bundle,
    ClientBlock,
    Region,
    Service,
    Topology,
    Upstream,
    Zone,
    pack_bundle,
    unpack_bundle,
)
from worksrail.core.bundle._blocks import BlockIndex
from worksrail.core.events import MessageReceived, Ticked
from worksrail.core.identity import Endpoints, Incarnation, Place
from worksrail.core.instance import Instance
from worksrail.core.messages import (
    Heartbeat,
    MemberRecord,
    MemberStatus,
    Spare,
    encode_messages,
)
from worksrail.core.reducer import reduce
from worksrail.core.settings import CoreSettings

_MEGABYTE: Final = 1_048_576
_MICRO: Final = 1_000_000
_LOOK_UPS: Final = 100_000
_REGIONS: Final = 8
_ZONES: Final = 31

_Measure = Callable[[int], dict[str, float]]


def block_memory(count: int) -> dict[str, float]:
    """Memory and look-up time of an index of client blocks."""
    rng = random.Random(count)
    step = 2**32 // (count + 1)
    before = _resident()
    index = _even_index(count, step)
    family = index.families[4]
    size = len(family.starts) * 4 + len(family.zones) * 2
    addresses = [rng.randrange(2**32) for _ in range(_LOOK_UPS)]
    started = time.perf_counter()
    for address in addresses:
        family.find(address)
    seconds = time.perf_counter() - started
    return {
        'index_mb': size / _MEGABYTE,
        'resident_mb': (_resident() - before) / _MEGABYTE,
        'micros': seconds / _LOOK_UPS * _MICRO,
    }


def _even_index(count: int, step: int) -> BlockIndex:
    ranges = [
        (number * step, number * step + step // 2, number % _ZONES + 1)
        for number in range(count)
    ]
    names = ['', *(f'zone-{number}' for number in range(_ZONES))]
    return BlockIndex.from_ranges(names, {4: ranges, 6: []})


def member_cost(count: int) -> dict[str, float]:
    """Memory, time and bytes of membership for one instance."""
    before = _resident()
    instance = _instance()
    records = [_record(index) for index in range(count)]
    now = 1.0
    for record in records:
        heartbeat = Heartbeat(record)
        reduce(instance, MessageReceived(now, record.who, heartbeat))
    memory = _resident() - before
    settings = instance.settings
    rounds = 40
    sent = 0
    started = time.process_time()
    for turn in range(rounds):
        now += settings.heartbeat_interval
        _hear_round(instance, records, now, turn)
        for effect in reduce(instance, Ticked(now, now)):
            message = getattr(effect, 'message', None)
            if message is not None:
                sent += len(encode_messages([message]))
    seconds = time.process_time() - started
    elapsed = rounds * settings.heartbeat_interval
    return {
        'memory_mb': memory / _MEGABYTE,
        'core': seconds / elapsed,
        'bytes_a_second': sent / elapsed,
    }


def upstream_cost(count: int) -> dict[str, float]:
    """Time of a placed request against upstreams of the service."""
    bundle = _one_service(count)
    plan = WorldPlan(
        bundle,
        CoreSettings(),
        {'orders': 0.2},
        entries_per_region=1,
        tick=0.25,
    )
    world = World.from_plan(plan)
    world.run_until(10)
    process = next(iter(world.processes.values()))
    events = process.events
    world.load(Traffic('orders', 'only', 200, 30))
    started = time.process_time()
    world.run_until(31)
    seconds = time.process_time() - started
    return {
        'micros': seconds / max(1, process.events - events) * _MICRO,
        'requests': len(world.log.outcomes),
    }


def bundle_change(count: int) -> dict[str, float]:
    """Bytes that one changed block puts on the wire."""
    blocks = [
        ClientBlock(
            f'{10 + index // 65536}.{index // 256 % 256}.{index % 256}.0/24',
            'z',
        )
        for index in range(count)
    ]
    base = Bundle(
        'worksrail/1',
        'x',
        (Region('r', 1),),
        (Zone('z', 'r'),),
        (),
        tuple(blocks),
    )
    changed = Bundle(
        'worksrail/1',
        'x',
        (Region('r', 1),),
        (Zone('z', 'r'),),
        (),
        (*blocks, ClientBlock('200.0.0.0/24', 'z')),
    )
    old = pack_bundle(base).chunks
    new = pack_bundle(changed).chunks
    fresh = [new[digest] for digest in new.keys() - old.keys()]
    return {
        'bytes': sum(len(chunk) for chunk in fresh),
        'whole': sum(len(chunk) for chunk in new.values()),
    }


def bundle_apply(count: int) -> dict[str, float]:
    """Time and memory of bringing a bundle into force."""
    blocks = tuple(
        ClientBlock(
            f'{10 + index // 65536}.{index // 256 % 256}.{index % 256}.0/24',
            'z',
        )
        for index in range(count)
    )
    bundle = Bundle(
        'worksrail/1', 'x', (Region('r', 1),), (Zone('z', 'r'),), (), blocks
    )
    packed = pack_bundle(bundle)
    started = time.process_time()
    before = _resident()
    unpacked = unpack_bundle(packed.digest, packed.chunks.get)
    if not isinstance(unpacked, Bundle):
        raise ValueError(unpacked)
    topology = Topology.from_bundle(unpacked)
    seconds = time.process_time() - started
    return {
        'seconds': seconds,
        'peak_mb': (_resident() - before) / _MEGABYTE,
        'chunk_mb': sum(map(len, packed.chunks.values())) / _MEGABYTE,
        'zones': len(topology.blocks.names),
    }


MEASURES: Final[dict[str, _Measure]] = {
    'blocks': block_memory,
    'members': member_cost,
    'upstreams': upstream_cost,
    'change': bundle_change,
    'apply': bundle_apply,
}


def _hear_round(
    instance: Instance,
    records: list[MemberRecord],
    now: float,
    turn: int,
) -> None:
    settings = instance.settings
    count = len(records)
    for step in range(settings.heartbeat_fanout):
        first = (turn * settings.heartbeat_fanout + step) % count
        others = tuple(
            _older(records[(first + other) % count], turn + 1)
            for other in range(1, settings.heartbeat_sample + 1)
        )
        sender = _older(records[first], turn + 1)
        message = Heartbeat(sender, others)
        reduce(instance, MessageReceived(now, sender.who, message))


def _older(record: MemberRecord, counter: int) -> MemberRecord:
    return MemberRecord(
        record.who,
        counter,
        record.place,
        record.endpoints,
        record.status,
        spares=record.spares,
    )


def _record(index: int) -> MemberRecord:
    region = f'region-{index % _REGIONS}'
    address = f'10.{index // 250}.{index % 250}.1:8000'
    spares = (Spare('orders', 10, 20, 12),) if index % _REGIONS == 0 else ()
    return MemberRecord(
        Incarnation(f'zone-{index % _ZONES}-{index}', 1_700_000_000_000),
        1,
        Place(f'zone-{index % _ZONES}', region),
        Endpoints(address, address, address, address),
        MemberStatus.READY,
        spares=spares,
    )


def _instance() -> Instance:
    address = '10.255.0.1:8000'
    return Instance.from_settings(
        Incarnation('own', 1),
        Place('zone-0', 'region-0'),
        Endpoints(address, address, address, address),
        CoreSettings(),
        now=0,
        seed=1,
    )


def _one_service(count: int) -> Bundle:
    upstreams = tuple(
        Upstream(f'u{index}', f'10.0.{index // 250}.{index % 250}:80', 'z', 3)
        for index in range(count)
    )
    return Bundle(
        'worksrail/1',
        'x',
        (Region('only', 1),),
        (Zone('z', 'only'),),
        (Service('orders', 'orders', upstreams),),
        (ClientBlock('10.0.0.0/8', 'z'),),
    )


def _resident() -> int:
    pages = Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * resource.getpagesize()
