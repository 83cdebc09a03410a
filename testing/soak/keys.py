"""Callers' keys, which the operator rotates during a run."""

import random
from typing import Any

import attrs

CUSTOMERS = ("alice", "bob", "carol")
# The customer whose callers send more than its limit allows.
LIMITED = "carol"
# Limit of that customer: requests per second, and also the burst.
LIMIT_PER_SECOND = 5
# The customer whose callers stay within its limit, and must not be refused.
COMPLIANT = "bob"
_COMPLIANT_LIMIT = 100
# The customer that sends bursts far beyond its limit, with a key that is never
# rotated. What its limit lets through is a fifth of what the service can do.
HOT = "dave"
HOT_KEY = "key-hot"
_HOT_LIMIT = 8
# Probability that a new configuration adds or removes a key.
_ROTATION_PROBABILITY = 0.5


@attrs.define
class Key:
    """A key and when it is valid, in seconds of loop time.

    Attributes:
        text: The key itself.
        customer: Name of the customer that it belongs to.
        added_at: When a configuration with the key was first acknowledged.
        removal_sent_at: When a configuration without it was first sent.
        removed_at: When a configuration without it was acknowledged.
    """

    text: str
    customer: str
    added_at: float = float("inf")
    removal_sent_at: float = float("inf")
    removed_at: float = float("inf")


class KeyRing:
    """All keys of a run, present and past.

    Args:
        rng: Random generator for the rotation of keys.

    Attributes:
        keys: Every key that was ever made, by its text.
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
        """Returns the customers for the next configuration.

        A customer's new key is added beside its current key, which a later
        configuration removes.

        Args:
            now: Loop time in seconds.
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
        ] + [{"name": HOT, "api_keys": [HOT_KEY], **_limit_fields(HOT)}]

    def _rotate(self, keys: list[Key], now: float) -> None:
        """Adds a key to a customer's only key, or removes the older of two.

        The older one is removed only once the newer one was acknowledged.
        """
        if len(keys) == 1:
            keys.append(self._make_key(keys[0].customer))
        elif keys[1].added_at < now:
            removed = keys.pop(0)
            removed.removal_sent_at = now
            self._pending_removal.append(removed)

    def confirm(self, now: float) -> None:
        """Records that the last drafted configuration was acknowledged."""
        for keys in self._current.values():
            for key in keys:
                key.added_at = min(key.added_at, now)
        for key in self._pending_removal:
            key.removed_at = now
        self._pending_removal.clear()

    def choose(self, rng: random.Random, customer: str = "") -> str:
        """Returns the key for a caller's next request.

        Args:
            rng: Random generator for the choice.
            customer: The customer whose current key is wanted. If empty, a
                random customer's, or in a tenth of the calls any key that was
                ever made.
        """
        if not customer and rng.random() < 0.1:
            return rng.choice(list(self.keys))
        keys = self._current[customer or rng.choice(CUSTOMERS)]
        return keys[0].text


def _limit_fields(customer: str) -> dict[str, Any]:
    """Returns a customer's limit as fields of the configuration."""
    limits = {
        LIMITED: LIMIT_PER_SECOND,
        COMPLIANT: _COMPLIANT_LIMIT,
        HOT: _HOT_LIMIT,
    }
    if customer not in limits:
        return {}
    limit = limits[customer]
    return {"rate_per_s": limit, "burst": limit, "unit": "requests"}
