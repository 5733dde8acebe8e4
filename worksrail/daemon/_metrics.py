"""Prometheus metrics of a process."""

from dataclasses import dataclass

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from worksrail.core.effects import Note, NoteKind
from worksrail.core.instance import Instance
from worksrail.core.permits import slot_group


@dataclass(slots=True)
class Metrics:
    """All counters and gauges of one process."""

    registry: CollectorRegistry
    """Registry of the metrics."""

    events: Counter
    """Reducer events by type."""

    results: Counter
    """Answers by result."""

    notes: Counter
    """Time line events by kind."""

    slots: Gauge
    """Slot permits by service and state."""

    waiting: Gauge
    """Waiting requests by service."""

    generation: Gauge
    """Generation in force."""

    members: Gauge
    """Number of known instances."""

    peer_bytes: Counter
    """Bytes of messages sent to other instances."""

    store_calls: Counter
    """Calls to the platform store by kind."""

    latency: Histogram
    """Seconds from arrival to the end of the answer."""

    @classmethod
    def from_registry(cls, registry: CollectorRegistry) -> 'Metrics':
        """Register all metrics."""
        return cls(
            registry,
            Counter(
                'worksrail_events',
                'Reducer events',
                ['type'],
                registry=registry,
            ),
            Counter(
                'worksrail_results',
                'Answers by result',
                ['result'],
                registry=registry,
            ),
            Counter(
                'worksrail_notes',
                'Time line events',
                ['kind'],
                registry=registry,
            ),
            Gauge(
                'worksrail_slot_permits',
                'Slot permits',
                ['service', 'state'],
                registry=registry,
            ),
            Gauge(
                'worksrail_waiting',
                'Waiting requests',
                ['service'],
                registry=registry,
            ),
            Gauge(
                'worksrail_generation',
                'Generation in force',
                registry=registry,
            ),
            Gauge('worksrail_members', 'Instances known', registry=registry),
            Counter(
                'worksrail_peer_sent_bytes',
                'Bytes sent to other instances',
                registry=registry,
            ),
            Counter(
                'worksrail_store_calls',
                'Calls to the store',
                ['kind'],
                registry=registry,
            ),
            Histogram(
                'worksrail_request_seconds',
                'Time to the answer',
                registry=registry,
            ),
        )

    def count_note(self, note: Note) -> None:
        """Count an event of the time line."""
        self.notes.labels(note.kind.value).inc()
        if note.kind is NoteKind.REQUEST_REFUSED:
            self.results.labels(note.subject).inc()
        elif note.kind is NoteKind.REQUEST_ENDED:
            self.results.labels('OK').inc()

    def render(self, instance: Instance) -> bytes:
        """Update the gauges and return all metrics in Prometheus's format."""
        self.generation.set(instance.configuration.generation)
        self.members.set(len(instance.membership.members))
        topology = instance.configuration.topology
        for name in topology.services if topology else ():
            group = instance.ledger.groups.get(slot_group(name))
            if group is None:
                continue
            self.slots.labels(name, 'usable').set(group.usable)
            self.slots.labels(name, 'in_use').set(group.in_use)
            self.slots.labels(name, 'lent').set(group.lent)
            self.slots.labels(name, 'borrowed').set(group.borrowed)
            queue = instance.service_state(name).queue
            self.waiting.labels(name).set(len(queue))
        return generate_latest(self.registry)
