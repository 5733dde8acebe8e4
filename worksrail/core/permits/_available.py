"""A set of pools from which random samples are drawn in constant time."""

import random
from dataclasses import dataclass, field

from worksrail.core.permits._pool import PoolKey


@dataclass(slots=True)
class AvailablePools:
    """Pool keys in a list with an index, for constant-time sampling.

    >>> pools = AvailablePools()
    >>> pools.add(PoolKey('slot/a'))
    >>> len(pools)
    1
    """

    keys: list[PoolKey] = field(default_factory=list)
    """The keys, in no particular order."""

    positions: dict[PoolKey, int] = field(default_factory=dict)
    """Position of each key in the list."""

    def __len__(self) -> int:
        """Return the number of pools."""
        return len(self.keys)

    def add(self, key: PoolKey) -> None:
        """Add a pool, unless it is in the set."""
        if key not in self.positions:
            self.positions[key] = len(self.keys)
            self.keys.append(key)

    def remove(self, key: PoolKey) -> None:
        """Remove a pool, if it is in the set."""
        position = self.positions.pop(key, None)
        if position is None:
            return
        last = self.keys.pop()
        if last != key:
            self.keys[position] = last
            self.positions[last] = position

    def draw(self, source: random.Random, count: int) -> list[PoolKey]:
        """Draw up to ``count`` pools at random, without repetition."""
        if len(self.keys) <= count:
            return list(self.keys)
        return source.sample(self.keys, count)
