"""Counts lost and late requests from logs, each by its first cause."""

import collections
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from ridgesill.app.request_summary import (
    ANSWERED_OUTCOMES,
    PARTIAL_OUTCOMES,
    UNVERIFIED,
)

# A phase of a request counts as the cause of its lateness if it alone took at
# least this share of the goal.
_MAIN_CAUSE_SHARE = 0.5
# An engine counts as slow if its first event came this many seconds later than
# predicted. Predictions are off by about 0.1 s.
_SLOW_ENGINE_SECONDS = 0.15
# Width of the time intervals in which losses are counted.
_INTERVAL_SECONDS = 2.0
# Refusals for these reasons don't count as losses: the configuration has no
# route for the request, or the caller no valid key.
_EXCLUDED_REASONS = frozenset(("no_route", "unknown_key"))
# Most rows in a table of causes, routes or customers.
_MAX_ROWS = 24


@attrs.frozen
class LoggedEnd:
    """The end of a request, as its front logged it.

    All durations are in seconds; `first` and `sent` count from the start of
    the request.

    Attributes:
        at: time of the end, in seconds since 1970.
        route: the route that the request matched; empty if none.
        outcome: what became of the request, such as `served` or `refused`.
        reason: why it was not served; empty if it was.
        goal: time within which the first part of the answer must be sent; 0
            if no goal is known.
        first: time until the first part of the answer.
        waited: time that the request waited for an adapter to be loaded.
        sent: time until the request was last sent to an upstream; 0 if it
            never was.
        predicted: predicted time from sending until the first event; 0 if
            there was no prediction.
        customer: the customer that sent the request; empty if unknown.
    """

    at: float
    route: str
    outcome: str
    reason: str
    goal: float
    first: float
    waited: float
    sent: float
    predicted: float
    customer: str = ""

    @property
    def is_in_time(self) -> bool:
        """Returns whether its answer began within the goal."""
        return self.outcome in ANSWERED_OUTCOMES and (
            not self.goal or self.first <= self.goal
        )


@attrs.frozen
class Account:
    """Counts of all requests, and of losses by cause, route and interval.

    A loss is a request that was not served in time.

    Attributes:
        ends: number of requests, without the excluded ones.
        in_time: number of those that were served in time.
        excluded: number of further requests, without a route or a valid key.
        causes: number of losses by cause.
        routes: number of losses by route and cause.
        intervals: number of losses by the start of an interval, in seconds
            from the first end.
        customers: number of requests and of those in time, by customer.
        unverified: number of answers that nothing shows to be whole.
    """

    ends: int
    in_time: int
    excluded: int
    causes: collections.Counter[str]
    routes: collections.Counter[tuple[str, str]]
    intervals: collections.Counter[float]
    customers: dict[str, tuple[int, int]]
    unverified: int = 0


class NoRequestEndsError(Exception):
    """No log line records the end of a request."""


def read_request_ends(lines: Iterable[dict[str, Any]]) -> Iterator[LoggedEnd]:
    """Yields the request ends that log lines record."""
    for line in lines:
        if line.get("message_type") == "request:end":
            yield LoggedEnd(
                float(line.get("timestamp", 0.0)),
                str(line.get("route", "")),
                str(line.get("outcome", "")),
                str(line.get("reason", "")),
                float(line.get("goal", 0.0)),
                float(line.get("first", 0.0)),
                float(line.get("waited", 0.0)),
                float(line.get("sent", 0.0)),
                float(line.get("foretold", 0.0)),
                str(line.get("customer", "")),
            )


def find_cause(end: LoggedEnd) -> str:
    """Returns why a request was not served in time."""
    if end.outcome in ANSWERED_OUTCOMES:
        return f"late: {_find_delay(end)}"
    # Drops the details that differ between requests with the same cause.
    reason = end.reason.partition(" with ")[0].partition(":")[0]
    return f"{end.outcome}: {reason}" if reason else end.outcome


def _find_delay(end: LoggedEnd) -> str:
    """Returns the first phase that explains why a request was late."""
    threshold = _MAIN_CAUSE_SHARE * end.goal
    at_engine = end.first - end.sent
    if end.waited >= threshold:
        return "it waited for a load"
    if end.sent - end.waited >= threshold:
        return "its front or the owner was slow to send it"
    if end.predicted and at_engine > end.predicted + _SLOW_ENGINE_SECONDS:
        return "the engine was slower than predicted"
    if end.predicted >= threshold:
        return "it queued behind others or was long itself, as predicted"
    if not end.predicted:
        return "the upstream was slow; there was no prediction"
    return "no phase took half of the goal"


def make_account(lines: Iterable[dict[str, Any]]) -> Account:
    """Returns the account of the requests whose ends the lines record.

    Raises:
        NoRequestEndsError: no line records the end of a request.
    """
    all_ends = [
        end
        for end in read_request_ends(lines)
        if end.outcome not in PARTIAL_OUTCOMES
    ]
    ends = [end for end in all_ends if end.reason not in _EXCLUDED_REASONS]
    if not ends:
        raise NoRequestEndsError(
            "no line records the end of a request; give the logs of all fronts"
        )
    started_at = min(end.at for end in ends)
    account = Account(
        len(ends),
        sum(end.is_in_time for end in ends),
        len(all_ends) - len(ends),
        collections.Counter(),
        collections.Counter(),
        collections.Counter(),
        _count_customers(ends),
        sum(end.outcome == UNVERIFIED for end in ends),
    )
    for end in ends:
        if end.is_in_time:
            continue
        cause = find_cause(end)
        account.causes[cause] += 1
        account.routes[end.route, cause] += 1
        interval = (
            (end.at - started_at) // _INTERVAL_SECONDS * _INTERVAL_SECONDS
        )
        account.intervals[interval] += 1
    return account


def _count_customers(ends: list[LoggedEnd]) -> dict[str, tuple[int, int]]:
    """Returns the numbers of requests and of those in time, by customer."""
    counts: dict[str, tuple[int, int]] = {}
    for end in ends:
        if end.customer:
            ended, in_time = counts.get(end.customer, (0, 0))
            counts[end.customer] = ended + 1, in_time + end.is_in_time
    return counts


def format_account(account: Account) -> str:
    """Returns an account as text for the terminal."""
    lost = account.ends - account.in_time
    lines = [
        f"{account.ends} requests ended, {account.in_time} in time, "
        f"{lost} not ({lost / account.ends:.1%}); "
        f"{account.excluded} more had no route or no key",
        *_format_unverified(account.unverified),
        "",
        *_format_counts("by cause", account.causes, account.ends),
        "",
        *_format_counts("by route and cause", account.routes, account.ends),
        "",
        *_format_customers(account.customers),
        "by moment, in seconds from the first end",
    ]
    largest = max(account.intervals.values(), default=1)
    for interval in sorted(account.intervals):
        count = account.intervals[interval]
        lines.append(
            f"{interval:8.0f} {count:7d} {'#' * (40 * count // largest)}"
        )
    return "\n".join(lines)


def _format_unverified(count: int) -> list[str]:
    if not count:
        return []
    return [f"nothing shows whether the answers to {count} of them are whole"]


def _format_customers(customers: dict[str, tuple[int, int]]) -> list[str]:
    """Returns lines on the customers with the most requests."""
    if not customers:
        return []
    ranked = sorted(customers.items(), key=lambda item: item[1], reverse=True)
    lines = ["by customer: requests, share in time"]
    lines += [
        f"{ended:8d} {in_time / ended:7.2%}  {name}"
        for name, (ended, in_time) in ranked[:_MAX_ROWS]
    ]
    return [*lines, ""]


def _format_counts(
    title: str, counts: collections.Counter[Any], ends: int
) -> list[str]:
    """Returns a titled table of the largest counts and their shares."""
    shown = counts.most_common(_MAX_ROWS)
    lines = [title]
    lines += [
        f"{count:8d} {count / ends:7.2%}  {_format_key(key)}"
        for key, count in shown
    ]
    rest = counts.total() - sum(count for _, count in shown)
    return [*lines, f"{rest:8d}          others"] if rest else lines


def _format_key(key: Any) -> str:
    return key if isinstance(key, str) else "  ".join(key)
