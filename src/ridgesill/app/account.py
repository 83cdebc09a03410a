"""Says from logs where requests were lost or late, each by its first cause."""

import collections
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

# A part of a request's time counts as the cause of its lateness when it alone
# took this share of its goal.
_TELLING_SHARE = 0.5
# An engine that gave the first event this much later than foretold did what
# nobody here knew of, in seconds; predictions are some 0.1 s beside it.
_UNFORETOLD_SECONDS = 0.15
# Width of the moments that losses are listed by, in seconds.
_MOMENT_SECONDS = 2.0
# Reasons of refusals that nothing was lost by: the configuration has no route,
# or the caller no key.
_NOT_OWED = frozenset(("no_route", "unknown_key"))
# Causes, and moments, that a table shows.
_ROWS_MOST = 24


@attrs.frozen
class End:
    """The end of a request, as its front has logged it.

    Attributes:
        at: seconds since 1970.
        goal: seconds within which the first part of the answer is in time; 0
            where none is known.
        first: seconds until it.
        waited: seconds for a load.
        sent: seconds until it was last sent to an upstream; 0 if it never was.
        foretold: seconds from then until the first event, as foretold.
    """

    at: float
    route: str
    outcome: str
    reason: str
    goal: float
    first: float
    waited: float
    sent: float
    foretold: float
    customer: str = ""

    @property
    def is_in_time(self) -> bool:
        """Whether its answer began within the goal."""
        return self.outcome == "served" and (
            not self.goal or self.first <= self.goal
        )


@attrs.frozen
class Account:
    """All ends, and what was lost by cause, route and moment.

    Attributes:
        ends: of requests that were owed an answer.
        not_owed: requests beside these, without a route or a key.
        causes: of requests that were not served in time.
        routes: of those, by route and cause.
        moments: of those, by the start of a moment, in seconds from the first.
        customers: by customer, all ends and those in time.
    """

    ends: int
    in_time: int
    not_owed: int
    causes: collections.Counter[str]
    routes: collections.Counter[tuple[str, str]]
    moments: collections.Counter[float]
    customers: dict[str, tuple[int, int]]


class NoRequestEndsError(Exception):
    """No line of the files tells the end of a request."""


def read_request_ends(lines: Iterable[dict[str, Any]]) -> Iterator[End]:
    """Yields the ends that log lines tell."""
    for line in lines:
        if line.get("message_type") == "request:end":
            yield End(
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


def find_cause(end: End) -> str:
    """Returns why a request was not served in time."""
    if end.outcome == "served":
        return f"late: {_find_delay(end)}"
    # Without what differs from request to request.
    reason = end.reason.partition(" with ")[0].partition(":")[0]
    return f"{end.outcome}: {reason}" if reason else end.outcome


def _find_delay(end: End) -> str:
    """Returns what took most of a late request's time."""
    telling = _TELLING_SHARE * end.goal
    at_engine = end.first - end.sent
    if end.waited >= telling:
        return "it waited for a load"
    if end.sent - end.waited >= telling:
        return "its front or the owner was slow to send it"
    if end.foretold and at_engine > end.foretold + _UNFORETOLD_SECONDS:
        return "the engine was slower than foretold"
    if end.foretold >= telling:
        return "it was behind others, or long itself, as foretold"
    if not end.foretold:
        return "the upstream was slow; nothing was foretold"
    return "no part took half of the goal"


def make_account(lines: Iterable[dict[str, Any]]) -> Account:
    """Returns the account of the requests that lines tell of.

    Raises:
        NoRequestEndsError: they tell of none.
    """
    read = list(read_request_ends(lines))
    ends = [end for end in read if end.reason not in _NOT_OWED]
    if not ends:
        raise NoRequestEndsError(
            "no line tells the end of a request; give the logs of all fronts"
        )
    began_at = min(end.at for end in ends)
    account = Account(
        len(ends),
        sum(end.is_in_time for end in ends),
        len(read) - len(ends),
        collections.Counter(),
        collections.Counter(),
        collections.Counter(),
        _count_customers(ends),
    )
    for end in ends:
        if end.is_in_time:
            continue
        cause = find_cause(end)
        account.causes[cause] += 1
        account.routes[end.route, cause] += 1
        moment = (end.at - began_at) // _MOMENT_SECONDS * _MOMENT_SECONDS
        account.moments[moment] += 1
    return account


def _count_customers(ends: list[End]) -> dict[str, tuple[int, int]]:
    counts: dict[str, tuple[int, int]] = {}
    for end in ends:
        if end.customer:
            ended, in_time = counts.get(end.customer, (0, 0))
            counts[end.customer] = ended + 1, in_time + end.is_in_time
    return counts


def format_account(account: Account) -> str:
    """Returns an account as text."""
    lost = account.ends - account.in_time
    lines = [
        f"{account.ends} requests ended, {account.in_time} in time, "
        f"{lost} not ({lost / account.ends:.1%}); "
        f"{account.not_owed} more had no route or no key",
        "",
        *_show_counts("by cause", account.causes, account.ends),
        "",
        *_show_counts("by route and cause", account.routes, account.ends),
        "",
        *_show_customers(account.customers),
        "by moment, in seconds from the first end",
    ]
    most = max(account.moments.values(), default=1)
    for moment in sorted(account.moments):
        count = account.moments[moment]
        lines.append(f"{moment:8.0f} {count:7d} {'#' * (40 * count // most)}")
    return "\n".join(lines)


def _show_customers(customers: dict[str, tuple[int, int]]) -> list[str]:
    """Returns lines on the customers with the most requests."""
    if not customers:
        return []
    most = sorted(customers.items(), key=lambda item: item[1], reverse=True)
    lines = ["by customer: requests, share in time"]
    lines += [
        f"{ended:8d} {in_time / ended:7.2%}  {name}"
        for name, (ended, in_time) in most[:_ROWS_MOST]
    ]
    return [*lines, ""]


def _show_counts(
    title: str, counts: collections.Counter[Any], ends: int
) -> list[str]:
    shown = counts.most_common(_ROWS_MOST)
    lines = [title]
    lines += [
        f"{count:8d} {count / ends:7.2%}  {_name(key)}" for key, count in shown
    ]
    rest = counts.total() - sum(count for _, count in shown)
    return [*lines, f"{rest:8d}          others"] if rest else lines


def _name(key: Any) -> str:
    return key if isinstance(key, str) else "  ".join(key)
