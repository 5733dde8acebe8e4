"""Mutual TLS between instances, with certificates that can be replaced."""

import os
import ssl
from dataclasses import dataclass
from typing import Final

from logbook import Logger

from worksrail.daemon._settings import DaemonSettings

_LOG: Final = Logger('worksrail.daemon')


@dataclass(slots=True)
class PeerTls:
    """The two contexts of an instance, and the files behind them.

    A file that changes is loaded into the same contexts, so that keys are
    replaced without a restart: new connections use the new certificate.
    """

    settings: DaemonSettings
    """Names the files."""

    server: ssl.SSLContext
    """For connections that arrive."""

    client: ssl.SSLContext
    """For connections that leave."""

    loaded: tuple[float, ...] = ()
    """Change times of the files when they were loaded."""

    @classmethod
    def from_settings(cls, settings: DaemonSettings) -> 'PeerTls | None':
        """Contexts for the files in the settings; None without files."""
        if not settings.tls_ca:
            return None
        server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        server.verify_mode = ssl.CERT_REQUIRED
        client = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
        # Instances are addressed by IP number; the CA signs instances only.
        client.check_hostname = False
        tls = cls(settings, server, client)
        tls.load()
        return tls

    def reload(self) -> bool:
        """Load the files again if one of them changed and all are usable.

        While they are being replaced they may be missing, cut, or not belong
        together; the next look finds them whole.
        """
        try:
            return self.load()
        except OSError as error:
            _LOG.warning(
                'certificates not loaded', extra={'problem': str(error)}
            )
            return False

    def load(self) -> bool:
        """Load the files if one of them changed; raises ``OSError``."""
        settings = self.settings
        files = (settings.tls_ca, settings.tls_certificate, settings.tls_key)
        changed = tuple(os.stat(path).st_mtime for path in files)
        if changed == self.loaded:
            return False
        for context in (self.server, self.client):
            context.load_verify_locations(settings.tls_ca)
            context.load_cert_chain(settings.tls_certificate, settings.tls_key)
        self.loaded = changed
        return True
