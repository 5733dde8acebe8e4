"""Finds the customer of a request and the regions that may serve it."""

from worksrail.core.customers import Customer, NoCustomer
from worksrail.core.identity import RegionName
from worksrail.core.results import ResultCode
from worksrail.core.steering._routes import Route, RoutingConfiguration
from worksrail.core.steering.events import SteeredHead
from worksrail.core.steering.kinds import StoreKind
from worksrail.core.steering.state import SteeringState


def resolve_customer(
    state: SteeringState,
    configuration: RoutingConfiguration,
    route: Route,
    head: SteeredHead,
    now: float,
) -> Customer | NoCustomer | ResultCode:
    """Return the customer, why there is none, or why the request is refused."""
    if configuration.customers is None:
        return NoCustomer.KEY_NOT_REQUIRED
    holder = configuration.customers.find_by_key(head.key_digest)
    if isinstance(holder, Customer):
        return holder
    if route.public:
        return NoCustomer.PUBLIC_ROUTE
    if head.key_digest and _may_be_stale(state, now):
        return ResultCode.KEY_UNCERTAIN
    return ResultCode.UNKNOWN_KEY


def allowed_regions(
    route: Route,
    customer: Customer | NoCustomer,
) -> frozenset[RegionName] | ResultCode:
    """Return the regions that route and customer allow; empty means all."""
    if not isinstance(customer, Customer) or not customer.regions:
        return route.regions
    if not route.regions:
        return customer.regions
    return (route.regions & customer.regions) or ResultCode.NO_COMMON_REGION


def _may_be_stale(state: SteeringState, now: float) -> bool:
    """Whether another entry may have a newer configuration.

    If so, an unknown key is not refused as unknown, since its caller would not
    retry.  An entry that reads the store is up to date, as is one that receives
    updates from such an entry; an isolated entry may be stale.
    """
    if not state.settled(now) or StoreKind.CONFIGURATION in state.behind_since:
        return True
    if state.watching and not state.failing_kinds:
        return False
    return all(entry.contact.store_lost for entry in state.fleet.alive(now))
