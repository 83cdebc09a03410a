"""Callers' keys, which the operator changes all the time."""

import random
from typing import Any

import attrs

CUSTOMERS = ("alice", "bob", "carol")
# The customer with a limit; its callers send more than that.
LIMITED = "carol"
# Requests a second, and at once.
LIMIT_PER_SECOND = 5
# The customer whose callers stay within its limit.
COMPLIANT = "bob"
_COMPLIANT_LIMIT = 100
# How likely a change of the configuration changes a customer's key.
_ROTATION_PROBABILITY = 0.5


@attrs.define
class Key:
    """A key and its life, in seconds on the loop's clock.

    Attributes:
        added_at: when the configuration with it was acknowledged.
        dropped_from: when the configuration without it was first sent.
        dropped_at: when that one was acknowledged.
    """

    text: str
    customer: str
    added_at: float = float("inf")
    removal_sent_at: float = float("inf")
    removed_at: float = float("inf")


class KeyRing:
    """All keys that there ever were.

    Args:
        rng: the source of chance.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._count = 0
        self._drafted: list[Key] = []
        self._pending_removal: list[Key] = []
        self.keys: dict[str, Key] = {}
        self._current: dict[str, list[Key]] = {
            customer: [self._make_key(customer)] for customer in CUSTOMERS
        }

    def _make_key(self, customer: str) -> Key:
        self._count += 1
        key = Key(f"key-{self._count}", customer)
        self.keys[key.text] = key
        return key

    def draft(self, now: float) -> list[dict[str, Any]]:
        """Returns the customers of the next configuration.

        A new key comes beside the last one, which then goes with a later
        configuration.
        """
        if self._rng.random() < _ROTATION_PROBABILITY:
            self._rotate(self._current[self._rng.choice(CUSTOMERS)], now)
        return [
            {
                "name": customer,
                "api_keys": [key.text for key in keys],
                **_limit_fields(customer),
            }
            for customer, keys in self._current.items()
        ]

    def _rotate(self, keys: list[Key], now: float) -> None:
        if len(keys) == 1:
            keys.append(self._make_key(keys[0].customer))
        elif keys[1].added_at < now:
            dropped = keys.pop(0)
            dropped.removal_sent_at = now
            self._pending_removal.append(dropped)

    def confirm(self, now: float) -> None:
        """Notes that the configuration drafted last was acknowledged."""
        for keys in self._current.values():
            for key in keys:
                key.added_at = min(key.added_at, now)
        for key in self._pending_removal:
            key.removed_at = now
        self._pending_removal.clear()

    def choose(self, rng: random.Random, customer: str = "") -> str:
        """Returns a key that a caller uses: a good one, or an earlier one."""
        if not customer and rng.random() < 0.1:
            return rng.choice(list(self.keys))
        keys = self._current[customer or rng.choice(CUSTOMERS)]
        return keys[0].text


def _limit_fields(customer: str) -> dict[str, Any]:
    limits = {LIMITED: LIMIT_PER_SECOND, COMPLIANT: _COMPLIANT_LIMIT}
    if customer not in limits:
        return {}
    limit = limits[customer]
    return {"rate_per_s": limit, "burst": limit, "unit": "requests"}
