"""Lazy import of the public names of a package."""

from collections.abc import Callable, Mapping
from functools import partial
from importlib import import_module
from typing import Any


def loader_of(package: str, homes: Mapping[str, str]) -> Callable[[str], Any]:
    """Make a package's ``__getattr__`` that imports a name on first use.

    ``homes`` maps each public name to the module that defines it.

    >>> loader_of('shapes', {'sqrt': 'math'})('sqrt')(9)
    3.0
    """
    return partial(_load, package, homes)


def _load(package: str, homes: Mapping[str, str], name: str) -> Any:
    home = homes.get(name)
    if home is None:
        raise AttributeError(f'module {package!r} has no attribute {name!r}')
    return getattr(import_module(home), name)
