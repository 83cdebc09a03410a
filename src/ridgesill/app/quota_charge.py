"""Charges a request to its customer's quota."""

import asyncio

from eliot import log_message

from ridgesill.core.serving.customers import Customer
from ridgesill.core.serving.rates import FrontRates, RateUse, weigh_priority
from ridgesill.core.serving.routes import Route
from ridgesill.ports.dialect import RequestFacts


class QuotaCharge:
    """Charges one request to its customer's quota, and refunds it.

    Args:
        quotas: the quotas, as this front keeps them.
        facts: what the client states about the request.
    """

    def __init__(self, quotas: FrontRates, facts: RequestFacts) -> None:
        self._quotas = quotas
        self._facts = facts
        self._loop = asyncio.get_running_loop()
        # The customer that was charged; None if nobody was.
        self._charged: Customer | None = None

    def charge(self, customer: Customer | None, route: Route | None) -> bool:
        """Charges the request; returns False if that exceeds the quota.

        Args:
            customer: the customer of the request; None where there are none.
            route: the route of the request.
        """
        if customer is None or customer.quota is None:
            return True
        now = self._loop.time()
        cost = customer.quota.cost(self._tokens())
        # Only the route's priority counts: the customer's own priority is the
        # same for all of its requests.
        weight = weigh_priority(route.priority if route else 0)
        if self._quotas.admit(customer.name, customer.quota, cost, now, weight):
            self._charged = customer
            return True
        log_message(
            "request:beyond_quota",
            request=self._facts.request,
            customer=customer.name,
            cost=cost,
            **self._quotas.describe_decision(customer.name, now),
        )
        return False

    def refund(self) -> None:
        """Refunds the request, if it was charged."""
        customer, self._charged = self._charged, None
        if customer is not None and customer.quota is not None:
            cost = customer.quota.cost(self._tokens())
            now = self._loop.time()
            self._quotas.refund(customer.name, RateUse(cost, cost), now)

    def _tokens(self) -> int:
        """Returns the tokens that count towards the quota."""
        return self._facts.prompt_tokens + self._facts.answer_tokens
