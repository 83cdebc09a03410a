"""Which upstreams this front can't open connections to.

A failed connection says nothing about the upstream's health: the front itself
may be partitioned from it. So an upstream that can't be reached gets no
requests until a test connection succeeds, however long that takes.
"""

from collections.abc import Collection, Iterable
from typing import TypeVar

import attrs

_T = TypeVar("_T")

# Number of distinct upstreams that fail, without one that is reached, from
# which all upstreams count as unreachable. A front of a large fleet sends to
# few of them each second, and would lose a request to each before it knew.
_ISOLATED_FROM = 16
# Number of distinct upstreams that fail, without one that is reached, from
# which all others are tested as well.
_SUSPECT_FROM = 2
# How often an upstream is tested while it can't be reached, in seconds: while
# its service or the front is cut off, and else. The return of a link goes
# unnoticed for as long.
_URGENT_INTERVAL_SECONDS = 0.4
_TEST_INTERVAL_SECONDS = 1.2
# Upstreams that are tested at once, at most.
_MAX_TESTS = 24


@attrs.define
class Reachability:
    """Tracks which upstreams are reachable; all times are in seconds."""

    # In the order in which they were found to be unreachable.
    _unreachable: dict[str, None] = attrs.Factory(dict)
    # Upstreams that failed since one was last reached.
    _failed_in_a_row: set[str] = attrs.Factory(set)
    _reached_at: dict[str, float] = attrs.Factory(dict)
    _tested_at: dict[str, float] = attrs.Factory(dict)
    # Upstreams whose channels broke and that haven't been tested since.
    _doubted: set[str] = attrs.Factory(set)

    @property
    def is_isolated(self) -> bool:
        """Whether so many failed in a row that none counts as reachable."""
        return len(self._failed_in_a_row) >= _ISOLATED_FROM

    @property
    def _is_suspect(self) -> bool:
        return len(self._failed_in_a_row) >= _SUSPECT_FROM

    @property
    def has_doubts(self) -> bool:
        """Whether any upstream is unreachable or may be."""
        return bool(self._unreachable or self._doubted)

    def list_unreachable(self) -> list[str]:
        """Returns the upstreams that could not be reached."""
        return list(self._unreachable)

    def count_unreachable(self) -> int:
        """Returns the number of upstreams that could not be reached."""
        return len(self._unreachable)

    @property
    def has_unreachable(self) -> bool:
        """Whether any upstream is unreachable."""
        return bool(self._unreachable)

    def record_unreachable(self, upstream: str) -> bool:
        """Records a connection that failed; returns whether that is new."""
        self._failed_in_a_row.add(upstream)
        is_new = upstream not in self._unreachable
        self._unreachable[upstream] = None
        return is_new

    def record_doubt(self, upstream: str) -> None:
        """Records that a channel to an upstream broke."""
        self._doubted.add(upstream)

    def record_reached(self, upstream: str, now: float) -> bool:
        """Records a connection or an answer; returns whether that is new."""
        self._reached_at[upstream] = now
        if not self._unreachable:
            return False
        self._failed_in_a_row.clear()
        is_new = upstream in self._unreachable
        self._unreachable.pop(upstream, None)
        return is_new

    def is_unreachable(self, upstream: str) -> bool:
        """Whether an upstream gets no requests from here."""
        return upstream in self._unreachable or self.is_isolated

    def are_all_unreachable(self, upstreams: Iterable[str]) -> bool:
        """Whether there are upstreams and none of them can be reached."""
        if not self._unreachable:
            return False
        names = list(upstreams)
        return bool(names) and all(map(self.is_unreachable, names))

    def choose_tests(
        self,
        known: list[str],
        silent: list[str],
        now: float,
        urgent: Collection[str] = (),
    ) -> list[str]:
        """Returns the upstreams to which a test connection is due.

        Load pattern: in a fleet of hundreds of fronts and upstreams some are
        always down, and each front knows several. They are tested seldom, and
        no others because of them, as long as some are reached in between.

        Args:
            known: all upstreams, in an order that spreads the tests.
            silent: those that owe answers and have sent nothing for a while.
            now: the current time.
            urgent: unreachable ones of services of which none is reachable.
        """
        wanted = [*urgent, *self._doubted, *silent, *self._unreachable]
        self._doubted.clear()
        if self._is_suspect:
            wanted += known
        known_names = set(known)
        due = [
            name
            for name in dict.fromkeys(wanted)
            if name in known_names
            and self._is_due(name, now, is_urgent=name in urgent)
        ][:_MAX_TESTS]
        self._tested_at.update(dict.fromkeys(due, now))
        return due

    def _is_due(self, upstream: str, now: float, *, is_urgent: bool) -> bool:
        latest = self._tested_at.get(upstream, float("-inf"))
        is_unreachable = upstream in self._unreachable
        if not is_unreachable:
            latest = max(latest, self._reached_at.get(upstream, float("-inf")))
        may_wait = is_unreachable and not is_urgent and not self._is_suspect
        interval = (
            _TEST_INTERVAL_SECONDS if may_wait else _URGENT_INTERVAL_SECONDS
        )
        return now - latest >= interval

    def discard_except(self, upstreams: set[str]) -> None:
        """Discards what is known of all upstreams but the given ones."""
        self._unreachable = _keep(self._unreachable, upstreams)
        self._reached_at = _keep(self._reached_at, upstreams)
        self._tested_at = _keep(self._tested_at, upstreams)
        self._failed_in_a_row &= upstreams


def _keep(table: dict[str, _T], names: set[str]) -> dict[str, _T]:
    """Returns the entries of a table that have one of some names."""
    return {name: value for name, value in table.items() if name in names}
