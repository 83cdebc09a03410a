"""Keys that were met lately, up to a number of them."""

import collections
from collections.abc import Hashable


class RecentKeys:
    """Remembers keys; the oldest gives way.

    Args:
        most: how many are remembered.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._keys: collections.OrderedDict[Hashable, None] = (
            collections.OrderedDict()
        )

    def add(self, key: Hashable) -> bool:
        """Remembers a key; returns whether it is new."""
        if key in self._keys:
            return False
        self._keys[key] = None
        if len(self._keys) > self._most:
            self._keys.popitem(last=False)
        return True
