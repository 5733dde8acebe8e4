"""Mutual TLS between instances, with reloadable certificates."""

import os
import ssl
from dataclasses import dataclass
from typing import Final

from logbook import Logger

from worksrail.daemon._settings import DaemonSettings

_LOG: Final = Logger('worksrail.daemon')


@dataclass(slots=True)
class PeerTls:
    """Server and client TLS contexts, and the files they are loaded from.

    Changed files are loaded into the same contexts, so that certificates can be
    rotated without a restart; new connections use the new certificate.
    """

    settings: DaemonSettings
    """Settings with the paths of the files."""

    server: ssl.SSLContext
    """Context for incoming connections."""

    client: ssl.SSLContext
    """Context for outgoing connections."""

    loaded: tuple[float, ...] = ()
    """Modification times of the loaded files."""

    @classmethod
    def from_settings(cls, settings: DaemonSettings) -> 'PeerTls | None':
        """Load the files in the settings into contexts; None without files."""
        if not settings.tls_ca:
            return None
        server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        server.verify_mode = ssl.CERT_REQUIRED
        client = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
        # Instances are addressed by IP; the CA signs only their certificates.
        client.check_hostname = False
        tls = cls(settings, server, client)
        tls.load()
        return tls

    def reload(self) -> bool:
        """Reload the files if one of them changed and all are valid.

        During a replacement they may be missing, truncated or inconsistent;
        the next call loads them once they are complete.
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
