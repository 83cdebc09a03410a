"""Whose request it is, and whether it may be served now."""

import attrs
from result import Err, Ok, Result

from ridgesill.core.serving.customers import Customer, Customers
from ridgesill.core.serving.routes import Route

# An unknown key is refused for good only by a front whose knowledge is younger
# than this, in seconds: an older one may not have heard of a new key yet.
_CERTAIN_SECONDS = 1.2

# Reasons of a refusal.
UNKNOWN_KEY = "unknown_key"
STALE = "stale"


@attrs.frozen
class ConfigurationFreshness:
    """How sure a front is that its configuration is in force.

    Attributes:
        age: seconds since everything committed was known here.
        age_most: seconds from which keys may have been taken away unheard;
            infinite where that is allowed.
    """

    age: float
    max_age: float = float("inf")

    @property
    def is_missing(self) -> bool:
        """Whether nothing has been confirmed here yet, as at the start."""
        return self.age == float("inf")

    @property
    def is_stale(self) -> bool:
        """Whether no key can be relied on."""
        return self.age >= self.max_age

    @property
    def is_certain(self) -> bool:
        """Whether a key that isn't known here surely isn't in force."""
        return self.age < min(_CERTAIN_SECONDS, self.max_age)


def check_caller(
    route: Route,
    customers: Customers | None,
    digest: bytes,
    knowledge: ConfigurationFreshness,
) -> Result[Customer | None, str]:
    """Returns whose request it is, or why it can't be served.

    Args:
        route: that it takes.
        customers: None where the configuration names none.
        digest: of its key; empty without one.
        knowledge: how sure this front is of its configuration.

    Returns:
        The customer, or None for a request that needs no key.
    """
    if customers is None or route.is_public:
        return Ok(None)
    if knowledge.is_stale:
        return Err(STALE)
    customer = customers.find(digest)
    if customer is not None:
        return Ok(customer)
    is_final = not digest or knowledge.is_certain
    return Err(UNKNOWN_KEY if is_final else STALE)
