"""Decoding of the platform's settings file."""

import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from worksrail.core.limits import QuotaBounds
from worksrail.core.steering import (
    EntryAddresses,
    EntryLimits,
    EntrySettings,
    SteeringBounds,
)
from worksrail.platform import _names as names
from worksrail.platform._fields import Fields, MalformedDocumentError

# Share of their time left up to which clients honour Retry-After.
_OBEYED_SHARE: Final = 1 / 3


def settings_path(environment: Mapping[str, str] = os.environ) -> Path:
    """Return the path of the settings file from the environment."""
    path = environment.get(names.SETTINGS_PATH, '')
    if not path:
        raise MalformedDocumentError(
            f'expected the path of the settings file in {names.SETTINGS_PATH}'
        )
    return Path(path)


def read_settings(path: Path) -> EntrySettings:
    """Read and decode the settings file.

    Raise ``MalformedDocumentError`` if it cannot be read, for example because
    it is being written; unknown fields are ignored.
    """
    try:
        document = json.loads(path.read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise MalformedDocumentError(f'unreadable settings: {error}') from error
    return decode_settings(document)


def decode_settings(
    document: Any,
    environment: Mapping[str, str] = os.environ,
) -> EntrySettings:
    """Decode the settings; the fingerprint secret is in the environment."""
    fields = Fields.from_value(document, 'settings')
    listen = fields.nested('Listen')
    zones = fields.nested('Zones')
    regions = {zone: zones.string(zone) for zone in zones.table}
    port = _decode_peer_port(fields)
    return EntrySettings(
        fields.string('NodeName'),
        fields.string('Zone'),
        fields.string('Region'),
        regions,
        EntryAddresses(
            listen.string('Front'),
            listen.string('Ready'),
            listen.string('Directory'),
            f'{fields.string("Ip")}:{port}',
        ),
        _decode_seeds(fields.strings('Seeds'), port),
        fields.nested('Platform').string('Address'),
        _decode_bounds(fields),
        _decode_limits(fields),
        environment.get(names.FINGERPRINT_SECRET, ''),
        fields.table.get('Bootstrap') is True,
    )


def _decode_peer_port(fields: Fields) -> int:
    ports = fields.table.get('InternalPortRange')
    if not isinstance(ports, list) or not ports:
        raise MalformedDocumentError('expected ports as InternalPortRange')
    if not isinstance(ports[0], int):
        raise MalformedDocumentError('expected a port in InternalPortRange')
    return ports[0]


def _decode_seeds(addresses: tuple[str, ...], port: int) -> tuple[str, ...]:
    # Seeds are listed with another port of these entries; the peer port is the
    # same on all of them.
    hosts = [address.rpartition(':')[0] for address in addresses]
    return tuple(f'{host}:{port}' for host in hosts)


def _decode_limits(fields: Fields) -> EntryLimits:
    if 'Limits' not in fields.table:
        return EntryLimits()
    limits = fields.nested('Limits')
    defaults = EntryLimits()
    # CpuShare is a share of one core; Cores scales it.
    share = limits.number('CpuShare', defaults.cores)
    return EntryLimits(
        share * limits.number('Cores', 1),
        limits.number('LinkMbps', defaults.link_mbps),
        limits.number('MemoryMb', defaults.memory_mb),
    )


def _decode_bounds(fields: Fields) -> SteeringBounds:
    pairs = [text.partition('=') for text in fields.strings('Bounds')]
    table: dict[str, Any] = {}
    for name, _, number in pairs:
        try:
            table[name] = float(number)
        except ValueError:
            table[name] = number
    bounds = Fields(table, 'settings.Bounds')
    defaults = SteeringBounds()
    return SteeringBounds(
        repeat_ratio=bounds.number('RetryBudgetRatio', defaults.repeat_ratio),
        repeat_window=bounds.number('BudgetWindowS', defaults.repeat_window),
        repeat_extra=bounds.number('BudgetExtraRetries', defaults.repeat_extra),
        look_up_age=bounds.number('ttl_max_s', defaults.look_up_age),
        heartbeat=fields.number('HeartbeatIntervalS', defaults.heartbeat),
        grace_period=bounds.number('GracePeriodS', defaults.grace_period),
        region_shift=bounds.number('MaxRegionShift', defaults.region_shift),
        cold_factor=bounds.number('ColdLoadFactor', defaults.cold_factor),
        cold_extra=bounds.number('ColdSlack', defaults.cold_extra),
        quota=QuotaBounds(
            bounds.number('QuotaWindowS', defaults.quota.window),
            bounds.number('QuotaOverage', defaults.quota.overage),
            bounds.number('QuotaSlack', defaults.quota.slack),
        ),
        obeyed_share=_OBEYED_SHARE,
        store_history=fields.nested('Platform').number(
            'HistoryS', defaults.store_history
        ),
    )
