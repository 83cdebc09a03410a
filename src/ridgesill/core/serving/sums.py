"""Sums of reports that are kept by name."""

from collections.abc import Mapping
from typing import Protocol, Self, TypeVar


class Summable(Protocol):
    """A figure of a report that can be added to another."""

    def plus(self, other: Self, /) -> Self:
        """Returns the sum of both."""


S = TypeVar("S", bound=Summable)


def add_by_name(one: Mapping[str, S], other: Mapping[str, S]) -> dict[str, S]:
    """Returns the sum of two reports, by name."""
    sums = dict(one)
    for name, figure in other.items():
        previous = sums.get(name)
        sums[name] = figure if previous is None else previous.plus(figure)
    return sums
