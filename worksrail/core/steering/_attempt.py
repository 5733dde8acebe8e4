"""One attempt of a request, at an upstream or at another entry."""

from dataclasses import dataclass


@dataclass(slots=True)
class Attempt:
    """An attempt in progress, or the lack of one if its number is zero."""

    number: int = 0
    """Number within the request, from one."""

    upstream: str = ''
    """Upstream that it was sent to; empty if it was passed to an entry."""

    helper: str = ''
    """Entry that it was passed to; empty if it was sent to an upstream."""

    sent_at: float = 0
    """When it started."""

    counted: bool = False
    """Whether it counts as in flight at its upstream."""

    expected_time: float = 0
    """Expected duration in seconds."""

    queue: float = 0
    """Requests ahead of it at the upstream, per slot."""

    warm: bool = False
    """Whether the request's key was expected to be warm at the upstream."""

    home: int = 0
    """Position of the upstream among the homes of the key: 1 for the primary
    one, 0 for none."""

    pace: float = 1
    """Pace of the upstream that was assumed when it was sent."""

    load_known: bool = False
    """Whether the load that its answer reports was learned from the head."""

    backed_off: bool = False
    """Whether the upstream asked for a backoff, the first one in a row."""

    crash_number: int = 0
    """Position in a series of crashes if this attempt crashed."""

    overdue: bool = False
    """Whether the upstream was found silent while it had this attempt."""

    lost: bool = False
    """Whether the upstream's process has ended, so that no answer can come."""

    @property
    def place(self) -> str:
        """Return the upstream or entry that has it."""
        return self.upstream or self.helper
