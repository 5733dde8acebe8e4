"""Client library for callers: cached look-ups, tickets and safe retries."""

from worksrail.client._client import (
    Answer,
    CallerClient,
    CallerSettings,
    NoAnswer,
)

__all__ = ('Answer', 'CallerClient', 'CallerSettings', 'NoAnswer')
