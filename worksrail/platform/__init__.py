"""Adapter between worksrail and the users' platform.

Only this package knows the platform's names, formats and calls, and it makes
no decisions.  ``python -m worksrail.platform`` runs one entry.
"""

from typing import TYPE_CHECKING, Final

from worksrail._lazy import loader_of

if TYPE_CHECKING:
    from worksrail.platform._dialect import PlatformCallers, PlatformUpstreams
    from worksrail.platform._fields import MalformedDocumentError
    from worksrail.platform._objects import (
        decode_configuration,
        decode_upstream,
        decode_version,
    )
    from worksrail.platform._settings import (
        decode_settings,
        read_settings,
        settings_path,
    )
    from worksrail.platform._store import PlatformStore

_HOMES: Final = {
    'MalformedDocumentError': 'worksrail.platform._fields',
    'PlatformCallers': 'worksrail.platform._dialect',
    'PlatformStore': 'worksrail.platform._store',
    'PlatformUpstreams': 'worksrail.platform._dialect',
    'decode_configuration': 'worksrail.platform._objects',
    'decode_settings': 'worksrail.platform._settings',
    'decode_upstream': 'worksrail.platform._objects',
    'decode_version': 'worksrail.platform._objects',
    'read_settings': 'worksrail.platform._settings',
    'settings_path': 'worksrail.platform._settings',
}

__all__ = (
    'MalformedDocumentError',
    'PlatformCallers',
    'PlatformStore',
    'PlatformUpstreams',
    'decode_configuration',
    'decode_settings',
    'decode_upstream',
    'decode_version',
    'read_settings',
    'settings_path',
)

__getattr__ = loader_of(__name__, _HOMES)
