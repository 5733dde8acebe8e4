"""Small fakes around the reducer, on a virtual clock.

They stand at the interfaces only: messages, store, upstreams, callers.  The
scenarios, the differential tests and the measurements of the decisions run
on them; every run with the same seed is the same run.
"""

from worksrail.bench.world._checks import Violation, Watch
from worksrail.bench.world._clock import VirtualClock
from worksrail.bench.world._network import NetworkFaults
from worksrail.bench.world._plan import WorldPlan
from worksrail.bench.world._requests import Outcome, RequestLog, Traffic
from worksrail.bench.world._store import FakeStore
from worksrail.bench.world._upstreams import FakeUpstream
from worksrail.bench.world._world import World

__all__ = (
    'FakeStore',
    'FakeUpstream',
    'NetworkFaults',
    'Outcome',
    'RequestLog',
    'Traffic',
    'Violation',
    'VirtualClock',
    'Watch',
    'World',
    'WorldPlan',
)
