"""Requests that crash the upstreams which execute them."""

from worksrail.core.quarantine._fingerprints import Fingerprint, fingerprint

__all__ = ('Fingerprint', 'fingerprint')
