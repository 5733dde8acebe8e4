"""Times and limits of the decisions, filled in from the daemon's settings."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """Times in seconds; the defaults suit deployments of the current size."""

    heartbeat_interval: float = 0.4
    """Time between two rounds of heartbeats."""

    heartbeat_fanout: int = 3
    """Instances that receive the heartbeat of one round."""

    heartbeat_sample: int = 6
    """Records of other instances in a heartbeat."""

    suspect_after: float = 2
    """Silence after which an instance is suspect and gets no new requests."""

    dead_after: float = 6
    """Silence after which an instance is considered dead."""

    join_grace: float = 1
    """Time for a new instance to receive heartbeats before it is ready."""

    loan_duration: float = 2
    """Duration of a loan of permits."""

    longest_run: float = 6
    """Maximum run time of a request; bounds the deadlines in a bundle."""

    ask_timeout: float = 0.25
    """Timeout of a loan request."""

    loan_idle: float = 0.5
    """Idle time after which a borrowed permit is returned."""

    reclaim_after: float = 12
    """Silence after which a seat may be claimed, in two steps of this."""

    isolation_after: float = 4
    """Silence of all peers and the store after which no permit is used."""

    pause_limit: float = 3
    """Gap between events above which the process counts as paused."""

    cancel_grace: float = 0.3
    """Time for which a slot stays in use after a request was cancelled."""

    queue_limit: int = 256
    """Maximum length of a service's queue at one entry."""

    key_limit: int = 200_000
    """Maximum number of idempotency keys in memory."""

    ticket_age: float = 30
    """Lifetime of a ticket."""

    retry_ratio: float = 0.1
    """Retries added to the budget by each success."""

    retry_burst: float = 30
    """Maximum retries saved over all instances, but at least one per seat."""

    attempt_limit: int = 3
    """Maximum attempts per request."""

    ejection_share: float = 0.34
    """Maximum share of a service's upstreams that may be ejected."""

    ejection_time: float = 5
    """Duration of the first ejection of an upstream."""

    leave_time: float = 30
    """Time for which an upstream that says that it leaves gets no requests;
    then one tells whether another upstream has taken its place."""

    offer_interval: float = 0.3
    """Time between two sends of an unconfirmed seat offer."""

    fingerprint_key: bytes = b''
    """Key of the fingerprints of requests; the same on all instances."""

    def saved_retries(self, seats: int) -> float:
        """Maximum retries saved per seat, given the total of seats."""
        return max(1, self.retry_burst / seats)
