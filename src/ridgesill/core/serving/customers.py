"""Customers, their keys and their limits.

Keys are kept and looked up by digest, so that no process holds them in the
clear beside the configuration's own document.
"""

import hashlib
from collections.abc import Mapping

import attrs

# Long enough that no two keys have the same digest, in bytes.
_DIGEST_BYTES = 16
# Customers that figures name; all others count as one.
_NAMED_MOST = 8
_OTHERS = "others"


@attrs.frozen
class Quota:
    """How much a customer may send.

    Attributes:
        rate: tokens, or requests, a second.
        burst: the most that may come at once beyond it.
        counts_tokens: whether both are in tokens.
        plain_tokens: what a request that names no tokens counts for.
    """

    rate: float
    burst: float
    counts_tokens: bool = False
    plain_tokens: int = 0

    def cost(self, tokens: int) -> int:
        """Returns what a request with this many tokens counts for."""
        if not self.counts_tokens:
            return 1
        return tokens or self.plain_tokens


@attrs.frozen
class Customer:
    """A customer.

    Attributes:
        priority: of its requests, before their routes'; None where it has none.
        quota: None for no limit.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


class Customers:
    """All customers, by the digests of their keys.

    Args:
        customers: all of them, those without a key too.
        by_digest: the holder of each key.
    """

    def __init__(
        self,
        customers: tuple[Customer, ...],
        by_digest: Mapping[bytes, Customer],
    ) -> None:
        self._by_digest = dict(by_digest)
        self.quotas = {c.name: c.quota for c in customers if c.quota}
        largest = sorted(customers, key=_rate, reverse=True)
        self._named = {c.name for c in largest[:_NAMED_MOST]}

    def find(self, digest: bytes) -> Customer | None:
        """Returns the holder of a key; None for an unknown one."""
        return self._by_digest.get(digest)

    def label(self, customer: Customer) -> str:
        """Returns the name under which figures count a customer."""
        return customer.name if customer.name in self._named else _OTHERS


def _rate(customer: Customer) -> float:
    return customer.quota.rate if customer.quota else float("inf")


def digest_key(key: bytes) -> bytes:
    """Returns the digest under which a key is kept."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()
