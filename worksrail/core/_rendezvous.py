"""Rendezvous hashing: assigns each duty to one of the live instances."""

from collections.abc import Iterable

import xxhash


def rendezvous_weight(duty: str, name: str) -> int:
    """Weight of a name for a duty; the same on every instance."""
    return xxhash.xxh64_intdigest(f'{duty}|{name}'.encode())


def rendezvous(duty: str, names: Iterable[str]) -> str:
    """Return the name to which a duty is assigned; empty without names.

    Two instances that see different members may both perform a duty, so
    performing any duty twice must be harmless.

    >>> rendezvous('watch', ['a']) == 'a'
    True
    """
    return max(
        names,
        key=lambda name: (rendezvous_weight(duty, name), name),
        default='',
    )
