"""Admission: requests refused at once, and the owner of a ticket."""

from typing import Final

from worksrail.core.bundle import Service, Topology
from worksrail.core.customers import Customer, CustomerName
from worksrail.core.events import RequestArrived
from worksrail.core.instance import Instance
from worksrail.core.messages import MemberRecord
from worksrail.core.requests import (
    ArrivalPath,
    KeyState,
    NoTicket,
    RequestHead,
    Ticket,
    TicketFault,
)
from worksrail.core.requests.active import ActiveRequest
from worksrail.core.results import ResultCode

_CLOCK_SKEW: Final = 10.0

_KEY_REFUSALS: Final = {
    KeyState.IN_PROGRESS: ResultCode.KEY_IN_PROGRESS,
    KeyState.EXECUTED: ResultCode.ALREADY_RUN,
    KeyState.FULL: ResultCode.KEY_MEMORY_FULL,
}


def admit(
    instance: Instance,
    event: RequestArrived,
) -> ActiveRequest | ResultCode:
    """Admit a request, or return the result code of its refusal."""
    topology = instance.configuration.topology
    if topology is None:
        return ResultCode.NOT_READY
    if not instance.accepts(event.now):
        return ResultCode.ENTRY_LEAVING
    head = event.head
    name = topology.hosts.get(head.host)
    if name is None:
        return ResultCode.UNKNOWN_SERVICE
    if isinstance(head.ticket, TicketFault):
        return ResultCode.INVALID_TICKET
    service = topology.services[name].service
    customer = _customer_of(topology, service, head)
    if isinstance(customer, ResultCode):
        return customer
    time_limit = min(service.deadline, instance.settings.longest_run)
    if head.timeout is not None:
        time_limit = min(time_limit, head.timeout)
    if time_limit <= 0:
        return ResultCode.DEADLINE_EXPIRED
    own_region = instance.place.region
    home = head.home or topology.region_of_caller(head.client, own_region)
    return ActiveRequest(
        event.request,
        head,
        name,
        home,
        event.now + time_limit,
        is_idempotent(service, head),
        customer,
    )


def _customer_of(
    topology: Topology,
    service: Service,
    head: RequestHead,
) -> CustomerName | ResultCode:
    """Name of the caller's customer; empty where callers need no key."""
    if head.passing is not ArrivalPath.DIRECT:
        # The instance that received it from the caller has checked the key.
        return head.customer
    if topology.customers is None:
        return ''
    holder = topology.customers.find_by_key(head.key_digest)
    if isinstance(holder, Customer):
        return holder.name
    return '' if service.public else ResultCode.UNKNOWN_KEY


def is_idempotent(service: Service, head: RequestHead) -> bool:
    """Whether a request may safely be executed more than once."""
    rule = service.idempotent
    if head.method in rule.methods:
        return True
    return any(head.path.startswith(prefix) for prefix in rule.paths)


def ticket_owner(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> MemberRecord | ResultCode | None:
    """Return the owner of the request's ticket if it is another instance.

    If this instance is the owner, the idempotency key is claimed.
    """
    head = active.head
    if active.idempotent or head.passing is ArrivalPath.SHIFTED:
        return None
    if isinstance(head.ticket, NoTicket):
        return ResultCode.KEY_WITHOUT_TICKET if head.key else None
    if isinstance(head.ticket, TicketFault):
        return ResultCode.INVALID_TICKET
    ticket = head.ticket
    refusal = _ticket_refusal(instance, active, ticket)
    if refusal:
        return refusal
    if ticket.owner == instance.who:
        return _claim_key(instance, active)
    if head.passing is ArrivalPath.TO_OWNER:
        return ResultCode.TICKET_OWNER_GONE
    return _live_owner(instance, ticket, now)


def _ticket_refusal(
    instance: Instance,
    active: ActiveRequest,
    ticket: Ticket,
) -> ResultCode | None:
    if ticket.service != active.service:
        return ResultCode.INVALID_TICKET
    latest_expiry = instance.wall + instance.settings.ticket_age + _CLOCK_SKEW
    if not instance.wall < ticket.expires <= latest_expiry:
        return ResultCode.TICKET_EXPIRED
    return None


def _claim_key(instance: Instance, active: ActiveRequest) -> ResultCode | None:
    if not active.head.key:
        return None
    key = f'{active.service}/{active.head.key}'
    state = instance.memory.claim(key, instance.wall)
    if state is KeyState.FREE:
        active.claimed_key = key
        return None
    return _KEY_REFUSALS[state]


def _live_owner(
    instance: Instance,
    ticket: Ticket,
    now: float,
) -> MemberRecord | ResultCode:
    for record in instance.membership.live(now, instance.settings):
        if record.who == ticket.owner:
            return record
    return ResultCode.TICKET_OWNER_GONE
