"""Requests that crash the upstreams which execute them.

Such a request is identified by its fingerprint, whichever instance receives it.
After it has crashed several upstreams one after the other it is held: all
instances refuse it at once, and it is tried again after a while.

>>> quarantine = Quarantine()
>>> for at, upstream in enumerate(('i-1', 'i-2', 'i-3')):
...     crash = Crash(upstream, quarantine.begin(7, at))
...     quarantine.record_crash(7, crash, at)
1
2
3
>>> quarantine.hold_time(7, now=3) > 0
True
"""

from worksrail.core.quarantine._advertised import AdvertisedCrashes
from worksrail.core.quarantine._fingerprints import (
    Fingerprint,
    fingerprint,
    label,
)
from worksrail.core.quarantine._quarantine import (
    CRASHES_UNTIL_HELD,
    Crash,
    Quarantine,
)

__all__ = (
    'CRASHES_UNTIL_HELD',
    'AdvertisedCrashes',
    'Crash',
    'Fingerprint',
    'Quarantine',
    'fingerprint',
    'label',
)
