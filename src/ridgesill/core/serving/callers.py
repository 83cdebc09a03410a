"""Identifies the customer of a request and checks whether it may be served."""

import attrs
from result import Err, Ok, Result

from ridgesill.core.serving.customers import Customer, Customers
from ridgesill.core.serving.routes import Route

# A front rejects an unknown key permanently only if its configuration is
# younger than this. With an older one it may not have received a new key yet.
_CERTAIN_SECONDS = 1.2

# Reasons for a refusal.
UNKNOWN_KEY = "unknown_key"
STALE = "stale"


@attrs.frozen
class ConfigurationFreshness:
    """How up to date the configuration of a front is.

    Attributes:
        age: seconds since this front last had every committed change.
        max_age: seconds from which the front must assume that keys were
            revoked without its knowledge; infinite to allow any age.
    """

    age: float
    max_age: float = float("inf")

    @property
    def is_missing(self) -> bool:
        """Whether no configuration has been confirmed since the start."""
        return self.age == float("inf")

    @property
    def is_stale(self) -> bool:
        """Whether the front is too far behind to accept any key."""
        return self.age >= self.max_age

    @property
    def is_certain(self) -> bool:
        """Whether a key that is unknown here is certainly invalid."""
        return self.age < min(_CERTAIN_SECONDS, self.max_age)


def check_caller(
    route: Route,
    customers: Customers | None,
    digest: bytes,
    freshness: ConfigurationFreshness,
) -> Result[Customer | None, str]:
    """Returns the customer of a request, or the reason to refuse it.

    Args:
        route: the route of the request.
        customers: all customers; None if the configuration names none.
        digest: digest of the request's key; empty if it has no key.
        freshness: how up to date the front's configuration is.

    Returns:
        The customer, None for a request that needs no key, or `UNKNOWN_KEY` or
        `STALE` as the error.
    """
    if customers is None or route.is_public:
        return Ok(None)
    if freshness.is_stale:
        return Err(STALE)
    customer = customers.find(digest)
    if customer is not None:
        return Ok(customer)
    is_final = not digest or freshness.is_certain
    return Err(UNKNOWN_KEY if is_final else STALE)
