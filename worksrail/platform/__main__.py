"""``python -m worksrail.platform``: one entry on the users' platform."""

from worksrail.core.steering import EntrySettings
from worksrail.daemon.steered import Adapter, serve
from worksrail.daemon.steered._adapter import SettingsFaultError
from worksrail.platform import (
    MalformedDocumentError,
    PlatformCallers,
    PlatformStore,
    PlatformUpstreams,
    read_settings,
    settings_path,
)


def _settings() -> EntrySettings:
    try:
        return read_settings(settings_path())
    except MalformedDocumentError as error:
        raise SettingsFaultError(str(error)) from error


if __name__ == '__main__':
    serve(
        Adapter(
            _settings, PlatformCallers(), PlatformUpstreams(), PlatformStore
        )
    )
