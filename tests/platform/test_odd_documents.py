"""One odd document of another writer costs nothing but itself."""

import copy
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from tests.platform.test_decoding import CONFIGURATION
from worksrail.core.steering import StoreUpdate
from worksrail.core.steering.kinds import StoreKind
from worksrail.platform import MalformedDocumentError, read_settings
from worksrail.platform._fields import Fields
from worksrail.platform._json import parse_json
from worksrail.platform._store import _UpdateBuilder

_MARKER = 'MARKER'
_FIELDS = (
    'Address',
    'Info',
    'Service',
    'Version',
    'Zone',
    'Slots',
    'State',
    'Sequence',
    'ColdRemainingS',
    'born',
    'Other',
)
# A field that nobody reads.
_HARMLESS = ('Other',)


def _entry(name: str, field: str = '', odd: Any = _MARKER) -> dict[str, Any]:
    info = {'Service': 'a', 'Version': 'v1', 'Zone': 'z1', 'Slots': 9}
    status = {'State': 'ready', 'Sequence': 1, 'ColdRemainingS': 0}
    spec: dict[str, Any] = {'Address': '10.0.0.9:80', 'born': 0}
    for table in (info, status, spec):
        if field in table:
            table[field] = odd
    if field == 'Info':
        return _object(name, spec | {'Info': odd, 'Status': status})
    if field == 'Other':
        spec['Other'] = odd
    return _object(name, spec | {'Info': info, 'Status': status})


def _object(name: str, spec: dict[str, Any]) -> dict[str, Any]:
    return {'Metadata': {'Name': name}, 'Spec': spec}


def _read(entries: list[dict[str, Any]], odd: str) -> StoreUpdate:
    """Read a page on which the marker stands for some JSON text."""
    document = {'items': entries, 'AsOf': 3, 'HasMore': False}
    text = json.dumps(document).replace(f'"{_MARKER}"', odd)
    builder = _UpdateBuilder(StoreKind.UPSTREAMS)
    builder.add_page(Fields.from_value(parse_json(text.encode()), 'answer'))
    return builder.build()


def _check_sound_entries(update: StoreUpdate, odd_name: str) -> None:
    names = [record.name for record in update.records]
    assert [name for name in names if name != odd_name] == ['i-1', 'i-3']
    # Entries hand updates to each other.
    assert msgspec.msgpack.encode(update)
    assert all(len(fault) < 500 for fault in update.faults)


_NUMBERS = {
    '401 digits': '9' * 401,
    'minus 401 digits': '-' + '9' * 401,
}


# A number too large for a float raised an exception that nobody caught, and
# ended the process at each start.
@pytest.mark.parametrize('field', _FIELDS)
@pytest.mark.parametrize('form', _NUMBERS)
def test_odd_number_costs_its_entry_only(form: str, field: str) -> None:
    entries = [_entry('i-1'), _entry('i-2', field), _entry('i-3')]
    update = _read(entries, _NUMBERS[form])
    _check_sound_entries(update, 'i-2')
    assert len(update.faults) == (field not in _HARMLESS)


_TEXTS = {
    'lone surrogate': r'"i-\udcff"',
    'two halves in the wrong order': r'"\udcff\ud83d"',
}


# A text that cannot be encoded made updates between entries fail, and ended
# processes once it was the name of an upstream with requests.
@pytest.mark.parametrize('field', [*_FIELDS, 'Name'])
@pytest.mark.parametrize('form', _TEXTS)
def test_odd_text_costs_its_entry_only(form: str, field: str) -> None:
    odd = _entry('i-2', field)
    if field == 'Name':
        odd['Metadata']['Name'] = _MARKER
    update = _read([_entry('i-1'), odd, _entry('i-3')], _TEXTS[form])
    _check_sound_entries(update, 'i-2')
    assert len(update.faults) == (field not in _HARMLESS)
    assert not [name for name in update.removed if name != 'i-2']


@pytest.mark.parametrize('form', _TEXTS)
def test_odd_name_of_an_evacuation_is_ignored(form: str) -> None:
    document = {'items': [_object(_MARKER, {}), _object('z1', {})], 'AsOf': 3}
    text = json.dumps(document).replace(f'"{_MARKER}"', _TEXTS[form])
    builder = _UpdateBuilder(StoreKind.EVACUATIONS)
    builder.add_page(Fields.from_value(parse_json(text.encode()), 'answer'))
    update = builder.build()
    assert update.zones == ('z1',)
    assert len(update.faults) == 1
    assert msgspec.msgpack.encode(update)


_ADDRESSES = (
    'http://10.0.0.9:80',
    'http://10.0.0.9',
    '[::1]:9',
    '::1:9',
    'h' * 300 + ':80',
    'localhost:80',
    '10.0.0.9:80\r\n',
    '10.0.0.9\r\n:80',
    ' 10.0.0.9:80',
    '10.0.0:80',
    '10.0.0.999:80',
    '10.0.0.9:' + '0' * 5000 + '80',
    '10.0.0.9:' + '9' * 5000,
    '10.0.0.9:\N{SUPERSCRIPT TWO}',
)


# An address that cannot be connected to ended the task of an attempt, and its
# request never got an answer.
@pytest.mark.parametrize('address', _ADDRESSES, ids=range(len(_ADDRESSES)))
def test_odd_address_costs_its_entry_only(address: str) -> None:
    entries = [_entry('i-1'), _entry('i-2', 'Address'), _entry('i-3')]
    update = _read(entries, json.dumps(address))
    _check_sound_entries(update, 'i-2')
    assert len(update.faults) == 1
    assert [record.name for record in update.records] == ['i-1', 'i-3']


_UNREADABLE = {
    '5000 digits': '9' * 5000,
    'minus 5000 digits': '-' + '9' * 5000,
    'float of 5000 digits': '9' * 5000 + '.5',
    'nested lists': '[' * 3000 + ']' * 3000,
    'nested tables': '{"a":' * 3000 + '1' + '}' * 3000,
    'brackets in a text': '[' * 3000 + r'"]\"]"' + ']' * 3000,
}


# A number of over 4,300 digits or a deeply nested value made the whole answer of
# the store unreadable, so that no entry got ready after a restart.
@pytest.mark.parametrize('field', _FIELDS)
@pytest.mark.parametrize('form', _UNREADABLE)
def test_unreadable_value_costs_its_entry_only(form: str, field: str) -> None:
    entries = [_entry('i-1'), _entry('i-2', field), _entry('i-3')]
    update = _read(entries, _UNREADABLE[form])
    _check_sound_entries(update, 'i-2')
    assert len(update.faults) == (field not in _HARMLESS)


# A deeply nested value in the settings ended a process when it was reloaded.
@pytest.mark.parametrize('form', _UNREADABLE)
def test_unreadable_settings_are_malformed(form: str, tmp_path: Path) -> None:
    path = tmp_path / 'settings.json'
    path.write_text(f'{{"Limits": {_UNREADABLE[form]}}}')
    with pytest.raises(MalformedDocumentError):
        read_settings(path)


def _configure(column: str, odd: str) -> StoreUpdate:
    """Read a configuration in which a column of a route holds some JSON."""
    document: dict[str, Any] = copy.deepcopy(CONFIGURATION)
    if column in document:
        document[column] = _MARKER
    else:
        routes = document['Routes']
        routes['Rows'][0][routes['Columns'].index(column)] = _MARKER
    page = {'items': [_object('main', document)], 'AsOf': 3}
    text = json.dumps(page).replace(f'"{_MARKER}"', odd)
    builder = _UpdateBuilder(StoreKind.CONFIGURATION)
    builder.add_page(Fields.from_value(parse_json(text.encode()), 'answer'))
    return builder.build()


# What was in force stays so: a timeout of zero gave 504 to all, and some forms
# ended processes.
@pytest.mark.parametrize(
    ('column', 'odd'),
    [
        ('TimeoutS', '9' * 401),
        ('TimeoutS', '9' * 5000),
        ('TimeoutS', '0'),
        ('TimeoutS', '-1'),
        ('TimeoutS', 'NaN'),
        ('TimeoutS', 'Infinity'),
        ('TargetLatencyS', 'NaN'),
        ('TargetLatencyS', '-1'),
        ('MaxAttempts', '9' * 401),
        ('Priority', '9' * 401),
        ('TrafficSplit', 'true'),
        ('TrafficSplit', '7'),
        ('TrafficSplit', '"a"'),
        ('TrafficSplit', '[{"Service": "a", "Weight": NaN}]'),
        ('TrafficSplit', '[{"Service": "a", "Weight": 1e999}]'),
        ('Version', '"r' + '9' * 5000 + '"'),
        ('Version', '"r\N{SUPERSCRIPT TWO}"'),
        ('Version', '"r' + '9' * 401 + '"'),
        ('Routes', '[' * 3000 + ']' * 3000),
    ],
)
def test_odd_configuration_is_refused_as_a_whole(column: str, odd: str) -> None:
    update = _configure(column, odd)
    assert update.configuration is None
    assert len(update.faults) == 1
    assert len(update.faults[0]) < 500
