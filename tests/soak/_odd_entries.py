"""Another writer, whose entries in the store name no upstream."""

import asyncio
import random
from typing import Any, Final

from tests.soak._world import SoakWorld

# Seconds between two writes, and entries that there are at most.
_PAUSE: Final = (0.05, 0.4)
_ENTRIES: Final = 6
_REMOVED_SHARE: Final = 0.2
_MANY_DIGITS: Final = 10**400
# What is odd: fields of the spec, of its description and of its status.
_FORMS: Final[tuple[dict[str, Any], ...]] = (
    {'ColdRemainingS': _MANY_DIGITS},
    {'ColdRemainingS': -1},
    {'Sequence': _MANY_DIGITS},
    {'Slots': _MANY_DIGITS},
    {'Slots': True},
    {'born': _MANY_DIGITS},
    {'State': 'warming'},
    {'Service': None},
    {'Address': 'http://127.0.0.1:9'},
    {'Address': '[::1]:9'},
    {'Address': f'{"h" * 300}:9'},
    {'Address': '127.0.0.1\r\n:9'},
    {'Info': 7},
)


async def write_odd_entries(world: SoakWorld, seed: int) -> None:
    """Write and remove odd entries until cancelled."""
    rng = random.Random(f'odd entries of {seed}')
    while True:
        await asyncio.sleep(rng.uniform(*_PAUSE))
        name = f'odd-{rng.randrange(_ENTRIES)}'
        if rng.random() < _REMOVED_SHARE:
            world.store.remove('servers', name)
        else:
            _write(world, name, rng.choice(_FORMS))


def _write(world: SoakWorld, name: str, form: dict[str, Any]) -> None:
    info = {'Service': 'a', 'Version': 'v1', 'Zone': 'z1', 'Slots': 9}
    status = {'State': 'ready', 'Sequence': 1, 'ColdRemainingS': 0}
    spec: dict[str, Any] = {'Address': '127.0.0.1:9', 'Info': info}
    for field, odd in form.items():
        table = next((one for one in (info, status) if field in one), spec)
        table[field] = odd
    world.store.put('servers', name, spec, status)
