"""The kinds of objects that entries follow in the store."""

from enum import Enum, unique


@unique
class StoreKind(Enum):
    """What an entry follows in the store."""

    CONFIGURATION = 'configuration'
    UPSTREAMS = 'upstreams'
    EVACUATIONS = 'evacuations'
