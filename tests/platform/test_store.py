"""The platform's store client against a stand-in of the store."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from tests.platform.test_decoding import CONFIGURATION
from worksrail.core.steering import StoreUpdate
from worksrail.core.steering.kinds import StoreKind
from worksrail.daemon.http import _attempt
from worksrail.daemon.steered import ANSWER_TIMEOUT, StoreFault
from worksrail.platform import PlatformStore
from worksrail.platform._fields import Fields
from worksrail.platform._json import parse_json
from worksrail.platform._store import _UpdateBuilder
from worksrail.standins.objects import ObjectStore, StoreMood, application

_PATIENCE_S = 20


def entry(name: str, state: str = 'ready', sequence: int = 1) -> Any:
    """Return the spec and the status of an upstream's entry."""
    description = {'Service': 'a', 'Version': 'v1', 'Zone': 'z1', 'Slots': 3}
    spec = {'Address': f'10.0.0.1:80{name}', 'Info': description}
    return spec, {'State': state, 'Sequence': sequence, 'ColdRemainingS': 0}


def _run(call: Callable[[ObjectStore, PlatformStore], Awaitable[Any]]) -> Any:
    async def run() -> Any:
        store = ObjectStore(page=3)
        server = HTTPServer(application(store))
        socket, port = bind_unused_port()
        server.add_socket(socket)
        calls: list[str] = []
        client = PlatformStore(f'127.0.0.1:{port}', calls.append)
        try:
            async with asyncio.timeout(30):
                return await call(store, client)
        finally:
            client.pool.close()
            server.stop()

    return asyncio.run(run())


@pytest.mark.parametrize('count', [0, 1, 3, 4, 7])
def test_list_contains_all_pages(count: int) -> None:
    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        for number in range(count):
            store.put('servers', str(number), *entry(str(number)))
        return await client.read_all(StoreKind.UPSTREAMS), store.revision

    update, revision = _run(call)
    assert isinstance(update, StoreUpdate)
    assert [record.name for record in update.records] == [
        str(number) for number in range(count)
    ]
    assert update.revision == revision


def test_watch_after_a_stale_list_returns_later_changes() -> None:
    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        store.put('servers', '1', *entry('1'))
        store.hold_replica()
        store.put('servers', '2', *entry('2'))
        store.remove('servers', '1')
        old = await client.read_all(StoreKind.UPSTREAMS, stale=True)
        assert isinstance(old, StoreUpdate)
        since = await client.watch(StoreKind.UPSTREAMS, old.revision, 20)
        return old, since

    old, since = _run(call)
    assert [record.name for record in old.records] == ['1']
    assert [record.name for record in since.records] == ['2']
    assert since.removed == ('1',)


def test_revision_of_a_list_is_that_of_its_oldest_page() -> None:
    # Pages of a stale list may come from replicas of different age.
    builder = _UpdateBuilder(StoreKind.EVACUATIONS)
    for revision in (9, 4, 7):
        page = {'items': [], 'HasMore': False, 'AsOf': revision}
        builder.add_page(Fields.from_value(page, 'page'))
    assert builder.build().revision == 4


def test_successive_watches_return_successive_changes() -> None:
    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        store.put('servers', '1', *entry('1'))
        listed = await client.read_all(StoreKind.UPSTREAMS)
        assert isinstance(listed, StoreUpdate)
        watch = asyncio.ensure_future(
            client.watch(StoreKind.UPSTREAMS, listed.revision, 20)
        )
        await asyncio.sleep(0.05)
        store.put('servers', '1', *entry('1', 'draining', 2))
        first = await watch
        assert isinstance(first, StoreUpdate)
        store.remove('servers', '1')
        second = await client.watch(StoreKind.UPSTREAMS, first.revision, 20)
        return first, second

    first, second = _run(call)
    assert [record.draining for record in first.records] == [True]
    assert second.removed == ('1',)


def test_watch_without_changes_times_out() -> None:
    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        return await client.watch(StoreKind.EVACUATIONS, 0, 0.05)

    assert _run(call) == StoreUpdate(0)


def test_waiting_watch_is_answered_after_a_silence_of_the_store() -> None:
    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        store.put('evacuations', 'z1', {})
        watch = asyncio.ensure_future(
            client.watch(StoreKind.EVACUATIONS, store.revision, 20)
        )
        await asyncio.sleep(0.05)
        store.mood = StoreMood.SILENT
        store.remove('evacuations', 'z1')
        await asyncio.sleep(0.2)
        assert not watch.done()
        store.mood = StoreMood.WELL
        return await watch

    assert _run(call).removed == ('z1',)


def test_dropped_history_is_reported() -> None:
    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        store.put('evacuations', 'z1', {})
        store.drop_history()
        return await client.watch(StoreKind.EVACUATIONS, 0, 20)

    assert _run(call) is StoreFault.HISTORY_GONE


@pytest.mark.parametrize(
    ('mood', 'fault'),
    [
        (StoreMood.BUSY, StoreFault.REFUSED),
        (StoreMood.LIMITED, StoreFault.REFUSED),
        (StoreMood.LOSING, StoreFault.CUT),
        (StoreMood.SILENT, StoreFault.UNREACHABLE),
    ],
)
def test_store_that_does_not_serve(
    mood: StoreMood, fault: StoreFault, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Beside much load an answer takes longer than calls usually wait.
    monkeypatch.setattr(_attempt, '_CONNECT_TIMEOUT', _PATIENCE_S)
    seconds = ANSWER_TIMEOUT if mood is StoreMood.SILENT else _PATIENCE_S

    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        store.mood = mood
        return await client.read_all(StoreKind.CONFIGURATION, seconds=seconds)

    assert _run(call) is fault


def test_unreachable_store() -> None:
    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        client.address = '127.0.0.1:1'
        return await client.read_all(StoreKind.CONFIGURATION)

    assert _run(call) is StoreFault.UNREACHABLE


@pytest.mark.parametrize(
    ('kind', 'name', 'spec'),
    [
        ('config', 'main', CONFIGURATION | {'Version': 'new'}),
        ('config', 'main', None),
        ('servers', 'i-1', {'Address': 'x'}),
    ],
)
def test_malformed_object_is_a_fault(kind: str, name: str, spec: Any) -> None:
    kinds = {
        'config': StoreKind.CONFIGURATION,
        'servers': StoreKind.UPSTREAMS,
    }

    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        store.put(kind, name, spec)
        return await client.read_all(kinds[kind])

    update = _run(call)
    assert isinstance(update, StoreUpdate)
    assert len(update.faults) == 1
    assert not update.records
    assert update.configuration is None


_UNUSABLE_ENTRIES = {
    'no spec': (None, None),
    'a string': ('\ufffd', None),
    'no status': ({'Address': '10.0.0.1:1', 'Info': {}}, None),
    'unknown state': entry('5', state='warming'),
    'invalid address': (entry('5')[0] | {'Address': '\x00'}, None),
}


@pytest.mark.parametrize('fault', _UNUSABLE_ENTRIES)
def test_unusable_entries_among_usable_ones(fault: str) -> None:
    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        for name in ('1', '2', '3', '4', '6'):
            store.put('servers', name, *entry(name))
        # The last entry of a page, whose name the next page continues from.
        store.put('servers', '3', *_UNUSABLE_ENTRIES[fault])
        store.put('servers', '5', *_UNUSABLE_ENTRIES[fault])
        return await client.read_all(StoreKind.UPSTREAMS)

    update = _run(call)
    assert [record.name for record in update.records] == ['1', '2', '4', '6']
    assert len(update.faults) == 2


@pytest.mark.parametrize('fault', _UNUSABLE_ENTRIES)
def test_entry_that_becomes_unusable_is_removed(fault: str) -> None:
    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        store.put('servers', '1', *entry('1'))
        store.put('servers', '2', *entry('2'))
        since = store.revision
        store.put('servers', '1', *_UNUSABLE_ENTRIES[fault])
        return await client.watch(StoreKind.UPSTREAMS, since, 20)

    update = _run(call)
    assert update.removed == ('1',)
    assert not update.records
    assert len(update.faults) == 1


@pytest.mark.parametrize(
    ('changes', 'listed', 'removed'),
    [
        ('-+', ('1',), ()),
        ('-+-', (), ('1',)),
        ('?+', ('1',), ()),
        ('+?', (), ('1',)),
        ('+?-', (), ('1',)),
    ],
)
def test_last_change_of_an_entry_wins(
    changes: str, listed: tuple[str, ...], removed: tuple[str, ...]
) -> None:
    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        store.put('servers', '1', *entry('1'))
        since = store.revision
        for number, change in enumerate(changes, 2):
            if change == '-':
                store.remove('servers', '1')
            elif change == '+':
                store.put('servers', '1', *entry('1', sequence=number))
            else:
                store.put('servers', '1', *_UNUSABLE_ENTRIES['unknown state'])
        return await client.watch(StoreKind.UPSTREAMS, since, 20)

    update = _run(call)
    assert tuple(record.name for record in update.records) == listed
    assert update.removed == removed


def test_evacuation_that_is_removed_in_the_same_watch_is_ignored() -> None:
    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        store.put('evacuations', 'z1', {})
        store.remove('evacuations', 'z1')
        return await client.watch(StoreKind.EVACUATIONS, 0, 20)

    update = _run(call)
    assert not update.zones
    assert update.removed == ('z1',)


@pytest.mark.parametrize(
    'body',
    [
        b'{"items": [], "AsOf": 3, "HasMore": false, "odd": "\xff\xfe"}',
        b'{"items": [], "AsOf": 3, "HasMore": false, "odd": "\x01\n"}',
        b'{"items": [7, "x", null], "AsOf": 3, "HasMore": false}',
    ],
)
def test_page_with_undecodable_bytes_is_accepted(body: bytes) -> None:
    page = Fields.from_value(parse_json(body), 'page')
    builder = _UpdateBuilder(StoreKind.UPSTREAMS)
    assert not builder.add_page(page)
    assert builder.build().revision == 3


def test_configuration_is_read() -> None:
    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        store.put('config', 'other', {})
        store.put('config', 'main', CONFIGURATION)
        return await client.read_all(StoreKind.CONFIGURATION)

    update = _run(call)
    assert update.configuration.version == 7
    assert not update.faults


def test_addresses_of_entries_are_written_and_read() -> None:
    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        first = await client.write_entries('z1', ('10.0.0.1:7',), is_new=True)
        again = await client.write_entries('z1', ('10.0.0.2:7',), is_new=True)
        later = await client.write_entries('z1', ('10.0.0.3:7',), is_new=False)
        unknown = await client.write_entries('z/2', ('a',), is_new=False)
        return first, again, later, unknown, await client.read_entries()

    first, again, later, unknown, found = _run(call)
    assert (first, later) == (None, None)
    assert isinstance(again, StoreFault)
    assert isinstance(unknown, StoreFault)
    assert found == {'z1': ('10.0.0.3:7',)}


@pytest.mark.parametrize(
    ('spec', 'expected'),
    [
        ({'Addresses': ['10.0.0.1:7', 'x', '10.0.0.1:70000', ':1']}, True),
        ({'Addresses': 'x'}, False),
        ({'Addresses': [1]}, False),
        ({}, True),
        (None, False),
        (7, False),
    ],
)
def test_odd_records_of_entries_cost_themselves(
    spec: Any, expected: bool
) -> None:
    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        store.put('entries', 'z1', spec)
        store.put('entries', 'z2', {'Addresses': ['10.0.0.2:7']})
        return await client.read_entries()

    found = _run(call)
    assert found['z2'] == ('10.0.0.2:7',)
    assert ('z1' in found) is expected
    assert set(found.get('z1', ())) <= {'10.0.0.1:7'}


@pytest.mark.parametrize('mood', [StoreMood.BUSY, StoreMood.LIMITED])
def test_store_that_refuses_leaves_the_addresses_unread(
    mood: StoreMood,
) -> None:
    async def call(store: ObjectStore, client: PlatformStore) -> Any:
        store.mood = mood
        return await client.read_entries()

    assert isinstance(_run(call), StoreFault)
