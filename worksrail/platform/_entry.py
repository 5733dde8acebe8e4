"""Entry point that runs one entry on the users' platform."""

import gc

from worksrail.core.steering import EntrySettings
from worksrail.daemon.steered import Adapter, serve
from worksrail.daemon.steered._adapter import InvalidSettingsError
from worksrail.platform._dialect import PlatformCallers, PlatformUpstreams
from worksrail.platform._fields import MalformedDocumentError
from worksrail.platform._settings import read_settings, settings_path
from worksrail.platform._store import PlatformStore


def run() -> None:
    """Serve requests until the process is stopped."""
    # Loaded modules stay in memory, so the collector need not scan them.
    gc.freeze()
    gc.enable()
    serve(
        Adapter(
            _read_settings,
            PlatformCallers(),
            PlatformUpstreams(),
            PlatformStore,
        )
    )


def _read_settings() -> EntrySettings:
    try:
        return read_settings(settings_path())
    except MalformedDocumentError as error:
        raise InvalidSettingsError(str(error)) from error
