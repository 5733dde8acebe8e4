"""Settings of the daemon: flags and environment variables."""

import ipaddress
import os
from collections.abc import Mapping
from dataclasses import MISSING, dataclass, field, fields
from dataclasses import Field as DataclassField
from typing import Annotated, Any, Final

from pydantic import (
    AfterValidator,
    ConfigDict,
    Field,
    TypeAdapter,
    ValidationError,
)

PREFIX: Final = 'WORKSRAIL_'
_NAME: Final = r'^[a-z0-9][a-z0-9.-]{0,62}$'
_MIN_SECRET_LENGTH: Final = 16


def _check_endpoint(text: str) -> str:
    host, separator, port = text.rpartition(':')
    if not separator or not port.isdigit() or int(port) > 65535:
        raise ValueError('expected an IP number and a port')
    ipaddress.ip_address(host)
    return text


def _check_endpoints(text: str) -> str:
    for part in filter(None, text.split(',')):
        _check_endpoint(part)
    return text


def _check_tokens(text: str) -> str:
    for part in filter(None, text.split(',')):
        name, _, digest = part.partition('=')
        if not name or len(digest) != 64:
            raise ValueError('expected name=SHA256,name=SHA256')
        int(digest, 16)
    return text


def _check_secrets(text: str) -> str:
    secrets = [part for part in text.split(',') if part]
    if not secrets or any(len(part) < _MIN_SECRET_LENGTH for part in secrets):
        raise ValueError(
            f'expected secrets of {_MIN_SECRET_LENGTH} characters or more'
        )
    return text


_Name = Annotated[str, Field(pattern=_NAME)]
_Endpoint = Annotated[str, AfterValidator(_check_endpoint)]
_Endpoints = Annotated[str, AfterValidator(_check_endpoints)]
_Tokens = Annotated[str, AfterValidator(_check_tokens)]
_Secrets = Annotated[str, AfterValidator(_check_secrets)]
_Seconds = Annotated[float, Field(gt=0, le=3600)]
_Count = Annotated[int, Field(ge=1)]


def _setting(text: str, default: Any = MISSING) -> Any:
    return field(default=default, metadata={'text': text})


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """All settings of ``worksraild``.

    Each field is a flag (``--zone``) and an environment variable
    (``WORKSRAIL_ZONE``); the flag takes precedence.
    """

    __pydantic_config__ = ConfigDict(extra='forbid')

    name: _Name = _setting('Name of this instance; unique')
    zone: _Name = _setting('Availability zone it runs in')
    region: _Name = _setting('Region of the zone')
    caller: _Endpoint = _setting('IP:PORT for callers')
    operator: _Endpoint = _setting('IP:PORT for operators and metrics')
    peer: _Endpoint = _setting('IP:PORT for messages of other instances')
    passing: _Endpoint = _setting('IP:PORT for requests passed on')
    store: _Endpoint = _setting('IP:PORT of the platform object API')
    ticket_secrets: _Secrets = _setting(
        'Secrets that sign tickets, newest first, separated by commas'
    )
    operator_tokens: _Tokens = _setting(
        'name=SHA256 of each operator token, separated by commas', ''
    )
    seeds: _Endpoints = _setting(
        'Peer addresses to ask at start, besides the platform list', ''
    )
    tls_ca: str = _setting('File with the CA of the instances', '')
    tls_certificate: str = _setting('File with the own certificate', '')
    tls_key: str = _setting('File with the key of the certificate', '')
    log_level: str = _setting('DEBUG, INFO, WARNING or ERROR', 'INFO')
    tick: _Seconds = _setting('Seconds between two rounds of decisions', 0.025)
    heartbeat: _Seconds = _setting('Seconds between two heartbeats', 0.4)
    heartbeat_fanout: _Count = _setting('Receivers of a heartbeat', 3)
    pause_limit: _Seconds = _setting(
        'Silence of the process after which it rejoins anew', 3.0
    )
    reclaim_after: _Seconds = _setting(
        'Silence after which the seat of an instance may be claimed', 12.0
    )
    header_bytes: _Count = _setting('Largest header block', 32_768)
    body_bytes: _Count = _setting('Largest request body', 67_108_864)
    connections: _Count = _setting('Most connections of callers', 2048)
    header_seconds: _Seconds = _setting('Longest wait for a request', 60.0)
    body_seconds: _Seconds = _setting('Longest time for a body', 60.0)
    peer_delay: str = _setting(
        'Bench only: delay of sent messages, region=seconds,...', ''
    )
    seed: int = _setting('Seed of random choices; 0 takes a fresh one', 0)


@dataclass(frozen=True, slots=True)
class SettingFault:
    """An invalid or missing setting."""

    setting: str
    """Name of the flag."""

    problem: str
    """Description of the problem."""


def load_settings(
    flags: Mapping[str, Any],
    environment: Mapping[str, str] = os.environ,
) -> DaemonSettings | list[SettingFault]:
    """Read and validate all settings; returns all faults if there are any.

    >>> load_settings({}, {})[0]
    SettingFault(setting='--name', problem='missing; Name of this ...')
    """
    texts: dict[str, Any] = {}
    for setting_field in fields(DaemonSettings):
        variable = environment.get(PREFIX + setting_field.name.upper())
        if variable is not None:
            texts[setting_field.name] = variable
    texts.update({name: str(text) for name, text in flags.items()})
    try:
        settings = _ADAPTER.validate_python(texts)
    except ValidationError as error:
        return [
            _fault(str(problem['loc'][0]), problem['type'], problem['msg'])
            for problem in error.errors(include_url=False)
        ]
    return _tls_faults(settings) or settings


def setting_table() -> list[tuple[str, str, str, str]]:
    """Return flag, variable, default and text of each setting, for the docs."""
    return [
        (
            _flag(setting_field.name),
            PREFIX + setting_field.name.upper(),
            _default(setting_field),
            setting_field.metadata['text'],
        )
        for setting_field in fields(DaemonSettings)
    ]


def _default(setting_field: DataclassField[Any]) -> str:
    return (
        'required'
        if setting_field.default is MISSING
        else str(setting_field.default)
    )


def _fault(name: str, kind: str, message: str) -> SettingFault:
    by_name = {
        setting_field.name: setting_field
        for setting_field in fields(DaemonSettings)
    }
    if kind in {'missing', 'missing_argument'}:
        return SettingFault(
            _flag(name), f'missing; {by_name[name].metadata["text"]}'
        )
    return SettingFault(_flag(name), message)


def _flag(name: str) -> str:
    return '--' + name.replace('_', '-')


def _tls_faults(settings: DaemonSettings) -> list[SettingFault]:
    files = {
        'tls_ca': settings.tls_ca,
        'tls_certificate': settings.tls_certificate,
        'tls_key': settings.tls_key,
    }
    if not any(files.values()):
        return []
    return [
        SettingFault(_flag(name), f'expected a readable file, got {path!r}')
        for name, path in files.items()
        if not os.access(path, os.R_OK)
    ]


_ADAPTER: Final = TypeAdapter(DaemonSettings)
