"""Upstreams that have said that they are shutting down."""

from collections.abc import Container
from dataclasses import dataclass, field
from typing import Final

# Seconds for which a new statement is advertised: several messages, each of
# which may be lost.
_ADVERTISED_FOR: Final = 2.0
# Seconds for which the statement of an upstream that is not listed is kept: its
# record may expire and come back.
_UNLISTED_TTL: Final = 120.0


@dataclass(slots=True)
class _Leaving:
    heard_at: float
    listed_at: float
    advertised_at: float = 0


@dataclass(slots=True)
class LeavingUpstreams:
    """Upstreams that have said, here or to another instance, that they leave.

    The statement of an incarnation is final: a record in discovery may be older
    than it.

    >>> leaving = LeavingUpstreams()
    >>> leaving.note('u1', 5.0), leaving.note('u1', 6.0), 'u1' in leaving
    (True, False, True)
    """

    statements: dict[str, _Leaving] = field(default_factory=dict)
    """Statements by name of the upstream's incarnation."""

    def __contains__(self, upstream: str) -> bool:
        """Return whether an upstream has said that it leaves."""
        return upstream in self.statements

    def note(self, upstream: str, now: float) -> bool:
        """Record a statement; return whether it is new."""
        if upstream in self.statements:
            return False
        self.statements[upstream] = _Leaving(now, now)
        return True

    def advertise(
        self,
        max_count: int,
        now: float,
        *,
        with_all: bool,
    ) -> tuple[str, ...]:
        """Return the upstreams to advertise, least recently advertised first.

        These are new statements; with ``with_all`` all of them, as instances
        that have just started know none.
        """
        due = sorted(
            (leaving.advertised_at, upstream)
            for upstream, leaving in self.statements.items()
            if with_all or now - leaving.heard_at < _ADVERTISED_FOR
        )
        chosen = tuple(upstream for _, upstream in due[:max_count])
        for upstream in chosen:
            self.statements[upstream].advertised_at = now
        return chosen

    def forget(self, listed: Container[str], now: float) -> None:
        """Drop the statements of upstreams that were unlisted long ago."""
        for upstream, leaving in tuple(self.statements.items()):
            if upstream in listed:
                leaving.listed_at = now
            elif now - leaving.listed_at > _UNLISTED_TTL:
                self.statements.pop(upstream)
