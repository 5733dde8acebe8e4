"""Reads and writes the addresses of entries that the store has."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any, Final

from logbook import Logger

from worksrail.core.steering.effects import (
    ReadEntryAddresses,
    WriteEntryAddresses,
)
from worksrail.core.steering.events import EntryAddressesRead
from worksrail.daemon.steered._adapter import SteeringStore, StoreFault
from worksrail.daemon.steered._engine import SteeringEngine

_LOG: Final = Logger('worksrail.store')


@dataclass(slots=True)
class EntryRecords:
    """Runs the effects on the records of entries."""

    engine: SteeringEngine
    """Handles the events."""

    store: SteeringStore
    """The store."""

    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    """Calls in progress."""

    def read(self, _: ReadEntryAddresses) -> None:
        """Read the addresses and dispatch an event with the result."""
        self._start(self._read())

    def write(self, effect: WriteEntryAddresses) -> None:
        """Write the addresses of a zone; a failure is only logged."""
        self._start(self._write(effect))

    def _start(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(call)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _read(self) -> None:
        found = await self.store.read_entries()
        addresses = None if isinstance(found, StoreFault) else found
        self.engine.dispatch(EntryAddressesRead(self.engine.now(), addresses))

    async def _write(self, effect: WriteEntryAddresses) -> None:
        fault = await self.store.write_entries(
            effect.zone, effect.addresses, is_new=effect.is_new
        )
        _LOG.info(
            'entry addresses written',
            extra={
                'zone': effect.zone,
                'addresses': len(effect.addresses),
                'fault': fault.value if fault else '',
            },
        )
