"""Whose request it is, and where it may be served."""

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
    """The customer of a request, why it has none, or why it is refused."""
    if configuration.customers is None:
        return NoCustomer.KEY_NOT_REQUIRED
    holder = configuration.customers.find_by_key(head.key_digest)
    if isinstance(holder, Customer):
        return holder
    if route.public:
        return NoCustomer.PUBLIC_ROUTE
    if head.key_digest and _may_be_behind(state, now):
        return ResultCode.KEY_UNCERTAIN
    return ResultCode.UNKNOWN_KEY


def allowed_regions(
    route: Route,
    customer: Customer | NoCustomer,
) -> frozenset[RegionName] | ResultCode:
    """Regions that route and customer both allow; empty means all."""
    if not isinstance(customer, Customer) or not customer.regions:
        return route.regions
    if not route.regions:
        return customer.regions
    return (route.regions & customer.regions) or ResultCode.NO_COMMON_REGION


def _may_be_behind(state: SteeringState, now: float) -> bool:
    """Whether a newer configuration may be in force elsewhere.

    Then a key that is not known here is not called unknown: its caller would
    not try again.  An entry that reads the store is up to date, as are those
    that live beside one; the others are told, or cut off.
    """
    if not state.settled(now) or StoreKind.CONFIGURATION in state.behind_since:
        return True
    if state.watching and not state.failing_kinds:
        return False
    return all(entry.contact.store_lost for entry in state.fleet.alive(now))
