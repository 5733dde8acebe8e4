"""One entry on the users' platform, from its settings file to its end."""

import gc

from worksrail.core.steering import EntrySettings
from worksrail.daemon.steered import Adapter, serve
from worksrail.daemon.steered._adapter import SettingsFaultError
from worksrail.platform._dialect import PlatformCallers, PlatformUpstreams
from worksrail.platform._fields import MalformedDocumentError
from worksrail.platform._settings import read_settings, settings_path
from worksrail.platform._store import PlatformStore


def run() -> None:
    """Serve until stopped."""
    # What has been loaded stays, so it need not be looked through again.
    gc.freeze()
    gc.enable()
    serve(
        Adapter(
            _settings, PlatformCallers(), PlatformUpstreams(), PlatformStore
        )
    )


def _settings() -> EntrySettings:
    try:
        return read_settings(settings_path())
    except MalformedDocumentError as error:
        raise SettingsFaultError(str(error)) from error
