"""Measurements with real daemons."""

import statistics
import time
from pathlib import Path
from typing import Any, Final

from tornado.httpclient import HTTPClient

from worksrail.bench._calls import wait_until
from worksrail.bench._fleet import Fleet
from worksrail.bench._plan import FleetPlan

_EXAMPLES: Final = Path(__file__).resolve().parents[3] / 'examples'
_MEGABYTE: Final = 1_048_576


def daemon_cost(per_region: int, folder: Path) -> dict[str, float]:
    """Costs of idle daemons, and of a roll, in a real fleet."""
    text = (_EXAMPLES / 'tally.yaml').read_text()
    text = text.replace('seats: 3', f'seats: {per_region}')
    plan = FleetPlan.from_example(
        'tally',
        folder,
        {'count-desk': 0.1, 'sheet-vault': 0.1},
        entries_per_region=per_region,
        base_port=12_000,
        text=text,
        flags={'tick': '0.1', 'heartbeat': '1.0', 'log-level': 'WARNING'},
    )
    with Fleet(plan) as fleet:
        rolled = fleet.roll(text)
        wait_until(lambda: _settled(fleet), 60)
        again = fleet.roll(text.replace('weight: 2', 'weight: 3'))
        seconds = 20.0
        names = [entry.name for entry in plan.entries]
        before = [fleet.processes[name].cpu_seconds() for name in names]
        calls = _calls(fleet)
        sent = _sent_bytes(fleet)
        time.sleep(seconds)
        after = [fleet.processes[name].cpu_seconds() for name in names]
        used = [end - start for start, end in zip(before, after, strict=True)]
        memory = [fleet.processes[name].memory_bytes() for name in names]
        return {
            'core': statistics.median(used) / seconds,
            'memory_mb': statistics.median(memory) / _MEGABYTE,
            'bytes_a_second': (_sent_bytes(fleet) - sent)
            / seconds
            / len(names),
            'store_calls_a_second': (_calls(fleet) - calls) / seconds,
            'first_roll': _slowest(rolled),
            'roll': _slowest(again),
        }


def _settled(fleet: Fleet) -> bool:
    status = fleet.status(fleet.plan.entries[0])
    live = [
        one
        for one in status['instances']
        if one['seen_as'] in {'live', 'self'} and one['generation'] >= 1
    ]
    return len(live) == len(fleet.plan.entries)


def _calls(fleet: Fleet) -> int:
    counters = fleet.store_counters()
    return sum(counters.get(kind, 0) for kind in ('read', 'write', 'watch'))


def _sent_bytes(fleet: Fleet) -> float:
    return sum(
        _metric(entry.operator, 'worksrail_peer_sent_bytes_total')
        for entry in fleet.plan.entries
    )


def _metric(address: str, name: str) -> float:
    client = HTTPClient()
    body = client.fetch(f'http://{address}/metrics').body.decode()
    client.close()
    for line in body.splitlines():
        if line.startswith(name + ' '):
            return float(line.split()[1])
    return 0


def _slowest(rolled: Any) -> float:
    return max(float(one['seconds']) for one in rolled['in_force'])
