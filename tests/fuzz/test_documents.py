"""Documents of the store that hold any JSON in the place of any value."""

import copy
import json
from collections.abc import Iterator
from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from tests.platform.test_decoding import CONFIGURATION
from worksrail.core.steering import StoreUpdate
from worksrail.core.steering.kinds import StoreKind
from worksrail.platform._fields import Fields
from worksrail.platform._json import parse_json
from worksrail.platform._store import _UpdateBuilder

_MARKER = '\x00marker'
_TEXTS = st.text(st.characters(exclude_categories=())) | st.sampled_from(
    ['', '\udcff', 'r1', 'ready', '10.0.0.9:80', 'http://a:1', '[::1]:9', 'r²']
)
_NUMBERS = st.integers() | st.floats() | st.sampled_from([10**18, 10**400])
_JSON = st.recursive(
    st.none() | st.booleans() | _NUMBERS | _TEXTS,
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(_TEXTS, children, max_size=3)
    ),
    max_leaves=6,
).map(json.dumps)
# JSON that Python cannot write, or not read as it is.
_UNREADABLE = st.sampled_from(
    ['9' * 5000, '-' + '9' * 5000, '1e999', '[' * 3000 + ']' * 3000]
)
_ENTRY: dict[str, Any] = {
    'Metadata': {'Name': 'odd'},
    'Spec': {
        'Address': '10.0.0.9:80',
        'Info': {'Service': 'a', 'Version': 'v1', 'Zone': 'z1', 'Slots': 9},
        'Status': {'State': 'ready', 'Sequence': 1, 'ColdRemainingS': 0},
        'born': 7,
    },
}
_CONFIGURATION = {'Metadata': {'Name': 'main'}, 'Spec': CONFIGURATION}


def _places(document: Any) -> Iterator[tuple[Any, Any]]:
    """Yield each place in a document: a container and a key or index."""
    pairs: Any = ()
    if isinstance(document, dict):
        pairs = document.items()
    elif isinstance(document, list):
        pairs = enumerate(document)
    for key, part in tuple(pairs):
        yield document, key
        yield from _places(part)


def _replace(document: dict[str, Any], place: int) -> dict[str, Any]:
    """Return a copy of a document with the marker at one of its places."""
    changed = copy.deepcopy(document)
    places = list(_places(changed))
    table, key = places[place % len(places)]
    table[key] = _MARKER
    return changed


def _named(name: str) -> dict[str, Any]:
    return _ENTRY | {'Metadata': {'Name': name}}


def _read(kind: StoreKind, items: list[Any], odd: str) -> StoreUpdate:
    text = json.dumps({'items': items, 'AsOf': 3, 'HasMore': False})
    text = text.replace(json.dumps(_MARKER), odd)
    builder = _UpdateBuilder(kind)
    builder.add_page(Fields.from_value(parse_json(text.encode()), 'answer'))
    return builder.build()


@given(st.integers(0, 1000), _JSON | _UNREADABLE)
def test_odd_entry_costs_nothing_but_itself(place: int, odd: str) -> None:
    items = [_named('i-1'), _replace(_ENTRY, place), _named('i-3')]
    update = _read(StoreKind.UPSTREAMS, items, odd)
    found = {record.discovery_id for record in update.records}
    assert {'i-1', 'i-3'} <= found
    assert len(update.records) + len(update.faults) == 3
    assert msgspec.msgpack.encode(update)
    assert all(len(fault) < 500 for fault in update.faults)


@given(st.integers(0, 1000), _JSON | _UNREADABLE)
def test_odd_configuration_is_taken_or_refused(place: int, odd: str) -> None:
    items = [_replace(_CONFIGURATION, place)]
    update = _read(StoreKind.CONFIGURATION, items, odd)
    if update.configuration is not None:
        assert not update.faults
        assert msgspec.msgpack.encode(update)
        timeouts = [
            route.timeout
            for routes in update.configuration.routes.values()
            for route in routes.values()
        ]
        assert all(timeout > 0 for timeout in timeouts)
