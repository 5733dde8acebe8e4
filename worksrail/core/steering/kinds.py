"""The kinds of objects that entries read from the store."""

from enum import Enum, unique


@unique
class StoreKind(Enum):
    """A kind of object in the store."""

    CONFIGURATION = 'configuration'
    UPSTREAMS = 'upstreams'
    EVACUATIONS = 'evacuations'
