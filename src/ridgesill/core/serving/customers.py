"""Customers, their API keys and their quotas.

Keys are stored and looked up by digest, so that the configuration document is
the only place that holds them in plain text.
"""

import hashlib
from collections.abc import Mapping

import attrs

# 16 bytes are enough to make a collision between two keys negligible.
_DIGEST_BYTES = 16
# Customers with a metric label of their own; all others share one label.
_MAX_LABELS = 8
_OTHERS_LABEL = "others"


@attrs.frozen
class Quota:
    """The rate limit of a customer.

    Attributes:
        rate: tokens or requests per second.
        burst: tokens or requests that may come at once beyond the rate.
        counts_tokens: whether rate and burst are in tokens, not requests.
        plain_tokens: tokens charged for a request that names no number.
    """

    rate: float
    burst: float
    counts_tokens: bool = False
    plain_tokens: int = 0

    def cost(self, tokens: int) -> int:
        """Returns what a request with this many tokens costs: tokens, or 1."""
        if not self.counts_tokens:
            return 1
        return tokens or self.plain_tokens


@attrs.frozen
class Customer:
    """A customer and the limits on its requests.

    Attributes:
        name: unique name of the customer.
        priority: overrides the priority of the route; None to use the route's.
        quota: the rate limit; None for no limit.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


class Customers:
    """All customers, indexed by the digests of their keys.

    Args:
        customers: all customers, including those without a key.
        by_digest: the customer of each key digest.
    """

    def __init__(
        self,
        customers: tuple[Customer, ...],
        by_digest: Mapping[bytes, Customer],
    ) -> None:
        self._by_digest = dict(by_digest)
        self.quotas = {c.name: c.quota for c in customers if c.quota}
        largest = sorted(customers, key=_quota_rate, reverse=True)
        self._labelled = {c.name for c in largest[:_MAX_LABELS]}

    def find(self, digest: bytes) -> Customer | None:
        """Returns the customer of a key digest; None if it is unknown."""
        return self._by_digest.get(digest)

    def label(self, customer: Customer) -> str:
        """Returns the metric label of a customer."""
        return (
            customer.name if customer.name in self._labelled else _OTHERS_LABEL
        )


def _quota_rate(customer: Customer) -> float:
    return customer.quota.rate if customer.quota else float("inf")


def digest_key(key: bytes) -> bytes:
    """Returns the digest under which a key is stored."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()
