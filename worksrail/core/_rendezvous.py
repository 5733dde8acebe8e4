"""Rendezvous hashing: who of the live instances does a duty."""

from collections.abc import Iterable

import xxhash


def rendezvous_weight(duty: str, name: str) -> int:
    """Weight of a name for a duty; equal everywhere."""
    return xxhash.xxh64_intdigest(f'{duty}|{name}'.encode())


def rendezvous(duty: str, names: Iterable[str]) -> str:
    """Name that does the duty; empty when there are no names.

    Two instances that see different members may both take a duty; every
    duty is therefore harmless when done twice.

    >>> rendezvous('watch', ['a']) == 'a'
    True
    """
    return max(
        names,
        key=lambda name: (rendezvous_weight(duty, name), name),
        default='',
    )
