"""Applies what was read from the store.

These are the configuration, the upstreams and the evacuated zones.
"""

from collections.abc import Iterable, Iterator
from typing import Any, Final

from worksrail.core.limits import quota_limits
from worksrail.core.steering._catalog import UpstreamRecord
from worksrail.core.steering._request_log import attempt_cancelled
from worksrail.core.steering._routes import RoutingConfiguration
from worksrail.core.steering.effects import (
    MAX_LOGGED_EACH,
    CancelAttempt,
    Decision,
    DecisionKind,
    DropConnections,
    Effect,
)
from worksrail.core.steering.events import (
    ConfigurationRead,
    EvacuationsRead,
    UpstreamsChanged,
    UpstreamsListed,
)
from worksrail.core.steering.kinds import StoreKind
from worksrail.core.steering.state import SteeringState


def on_configuration(
    state: SteeringState,
    event: ConfigurationRead,
) -> Iterator[Effect]:
    """Apply a configuration if its version is higher than the current one."""
    state.kinds_read.add(StoreKind.CONFIGURATION)
    state.store_sync.record_revision(StoreKind.CONFIGURATION, event.revision)
    version = event.configuration.version
    current = state.configuration
    if isinstance(current, RoutingConfiguration):
        if version <= current.version:
            if version < current.version:
                yield Decision(
                    DecisionKind.CONFIGURATION_IGNORED,
                    str(version),
                    inputs=(('in_force', current.version),),
                )
            return
    state.configuration = event.configuration
    state.splits.forget_all()
    table = event.configuration.customers
    customers = table.customers.values() if table else ()
    limits = quota_limits(customers, state.settings.bounds.quota)
    state.limits.follow(limits, event.now)
    yield Decision(DecisionKind.CONFIGURATION_APPLIED, str(version))


def on_listed(
    state: SteeringState,
    event: UpstreamsListed,
) -> Iterator[Effect]:
    """Apply the complete list of upstreams."""
    state.kinds_read.add(StoreKind.UPSTREAMS)
    state.store_sync.record_list(event.revision)
    listed = {record.discovery_id for record in event.records}
    listed.update(state.catalog.current_incarnations)
    before = _snapshot(state, listed, event.now)
    state.catalog.replace(event.records, event.now)
    yield from _apply_differences(state, listed, before, event.now)


def on_changed(
    state: SteeringState,
    event: UpstreamsChanged,
) -> Iterator[Effect]:
    """Apply changes of some upstreams."""
    changed = {record.discovery_id for record in event.records}
    changed.update(event.removed)
    state.store_sync.record_changes(sorted(changed), event.revision)
    before = _snapshot(state, changed, event.now)
    state.catalog.change(event.records, event.removed, event.now)
    yield from _apply_differences(state, changed, before, event.now)


def on_evacuations(
    state: SteeringState,
    event: EvacuationsRead,
) -> Iterator[Effect]:
    """Apply the set of evacuated zones."""
    state.kinds_read.add(StoreKind.EVACUATIONS)
    state.store_sync.record_revision(StoreKind.EVACUATIONS, event.revision)
    if event.zones != state.catalog.evacuated:
        state.catalog.evacuate(event.zones)
        zones = ','.join(sorted(event.zones))
        yield Decision(DecisionKind.ZONES_EVACUATED, zones)


def expire_upstreams(state: SteeringState, now: float) -> Iterator[Effect]:
    """Remove upstreams that have been missing for too long."""
    for name in state.catalog.expire(now):
        yield Decision(DecisionKind.UPSTREAM_GONE, name)


_Snapshot = tuple[UpstreamRecord, bool]


def _snapshot(
    state: SteeringState,
    identifiers: Iterable[str],
    now: float,
) -> dict[str, _Snapshot]:
    """Return records and coldness of some upstreams by incarnation name."""
    listed = map(state.catalog.current, sorted(identifiers))
    return {
        upstream.name: (upstream.record, upstream.cold_until > now)
        for upstream in listed
        if upstream
    }


def _apply_differences(
    state: SteeringState,
    identifiers: Iterable[str],
    before: dict[str, _Snapshot],
    now: float,
) -> Iterator[Effect]:
    after = _snapshot(state, identifiers, now)
    removed = sorted(before.keys() - after.keys())
    gone = [Decision(DecisionKind.UPSTREAM_GONE, name) for name in removed]
    yield from _summarize(gone, DecisionKind.UPSTREAMS_GONE)
    for name in removed:
        yield from _abandon_incarnation(state, before[name][0], now)
    known: list[Decision] = []
    cold: list[Decision] = []
    for name, (record, is_cold) in after.items():
        old, was_cold = before.get(name, (None, False))
        if old is None:
            known.append(_upstream_known(record))
        if record.draining and (old is None or not old.draining):
            yield _upstream_draining(record)
        if is_cold and not was_cold:
            cold.append(_upstream_cold(record))
    yield from _summarize(known, DecisionKind.UPSTREAMS_KNOWN)
    yield from _summarize(cold, DecisionKind.UPSTREAMS_COLD)
    _forget_unlisted(state, now)


def _forget_unlisted(state: SteeringState, now: float) -> None:
    listed = state.catalog.upstreams.keys()
    state.loads.keep_only(listed)
    state.paths.keep_only(listed)
    state.rates.backoffs.keep_only(listed)
    state.rates.cold.forget(
        {
            name
            for name in state.rates.cold.last_sent
            if not _is_cold(state, name, now)
        }
    )


def _is_cold(state: SteeringState, name: str, now: float) -> bool:
    upstream = state.catalog.upstreams.get(name)
    return upstream is not None and upstream.cold_until > now


def _abandon_incarnation(
    state: SteeringState,
    record: UpstreamRecord,
    now: float,
) -> Iterator[Effect]:
    """Abandon an earlier incarnation of an upstream that has restarted.

    Its requests in flight will never be answered. They end at once and are
    retried elsewhere if possible, instead of waiting for their deadlines.
    """
    successor = state.catalog.current(record.discovery_id)
    if successor is None:
        return
    yield Decision(
        DecisionKind.UPSTREAM_RESTARTED,
        successor.name,
        inputs=(('before', record.name),),
    )
    yield DropConnections(record.address)
    for request in state.requests.values():
        if request.answering:
            # Its connection shows whether the rest of the answer comes.
            continue
        for attempt in request.in_progress:
            if attempt.upstream == record.name:
                attempt.lost = True
                yield attempt_cancelled(
                    state, request, attempt, 'upstream ended', now
                )
                yield CancelAttempt(request.number, attempt.number)


def _summarize(
    decisions: list[Decision],
    many: DecisionKind,
) -> Iterable[Decision]:
    if len(decisions) <= MAX_LOGGED_EACH:
        return decisions
    return (Decision(many, inputs=(('count', len(decisions)),)),)


def _upstream_known(record: UpstreamRecord) -> Decision:
    return Decision(
        DecisionKind.UPSTREAM_KNOWN,
        record.name,
        inputs=(
            ('service', record.service),
            ('address', record.address),
            ('zone', record.zone),
        ),
    )


def _upstream_draining(record: UpstreamRecord) -> Decision:
    return Decision(
        DecisionKind.UPSTREAM_DRAINING,
        record.name,
        inputs=(('sequence', record.sequence),),
    )


def _upstream_cold(record: UpstreamRecord) -> Decision:
    return Decision(
        DecisionKind.UPSTREAM_COLD,
        record.name,
        inputs=(('seconds', round(record.cold_time, 3)),),
    )


HANDLERS: Final[dict[type, Any]] = {
    ConfigurationRead: on_configuration,
    UpstreamsListed: on_listed,
    UpstreamsChanged: on_changed,
    EvacuationsRead: on_evacuations,
}
"""Handlers of the events that deliver what was read."""
