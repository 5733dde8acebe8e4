"""Replacement of certificates while an entry runs."""

import ssl
from pathlib import Path

import pytest

from worksrail.daemon._settings import DaemonSettings, load_settings
from worksrail.daemon._tls import PeerTls

_FLAGS = {
    'name': 'one-1',
    'zone': 'one',
    'region': 'here',
    'ticket_secrets': 'a-secret-that-is-long-enough',
    **dict.fromkeys(
        ('caller', 'operator', 'peer', 'passing', 'store'), '127.0.0.1:1'
    ),
}


@pytest.mark.parametrize('text', [None, '', '-----BEGIN CERTIFICATE-----\ncut'])
def test_reload_ignores_missing_or_invalid_files(
    text: str | None, tmp_path: Path
) -> None:
    # An error for a missing file ended the task that reloads certificates:
    # later files were never loaded, and nothing was logged.
    files = {
        name: str(tmp_path / name)
        for name in ('tls_ca', 'tls_certificate', 'tls_key')
    }
    for path in files.values():
        Path(path).write_text('')
    settings = load_settings({**_FLAGS, **files})
    assert isinstance(settings, DaemonSettings)
    for path in files.values():
        Path(path).unlink()
        if text is not None:
            Path(path).write_text(text)
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    client = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
    tls = PeerTls(settings, server, client)
    with pytest.raises(OSError):
        tls.load()
    assert not tls.reload()
