"""A bounded set of the keys added last."""

import collections
from collections.abc import Hashable


class RecentKeys:
    """A set of keys that evicts the oldest when it is full.

    Args:
        capacity: the largest number of keys kept.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._keys: collections.OrderedDict[Hashable, None] = (
            collections.OrderedDict()
        )

    def add(self, key: Hashable) -> bool:
        """Adds a key and returns whether it was absent.

        Adding a key again does not renew it.
        """
        if key in self._keys:
            return False
        self._keys[key] = None
        if len(self._keys) > self._capacity:
            self._keys.popitem(last=False)
        return True
