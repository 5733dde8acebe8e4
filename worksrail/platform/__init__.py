"""Runs worksrail on the users' platform.

All that knows the platform's names, formats and calls stands here; nothing
here decides.  ``python -m worksrail.platform`` serves one entry.
"""

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
