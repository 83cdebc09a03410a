"""Divides the rate of an overloaded service between classes of requests.

Load pattern: one of 16 customers sends ten times its usual load for 5 s while a
quarter of the upstreams is down. Shared in proportion to what is offered, the
rate would go to that customer, and the 15 others would lose most of theirs.

`core/pool/waiting.py` approximates the same weighted max-min shares, for
requests that wait in the queue of one process: it orders them one by one by
virtual start times, which it keeps for each team. Here no request waits and no
process sees all of them: the result is a rate for each class, computed from
measured loads alone. The two have no step in common.
"""

from collections.abc import Iterable, Mapping

import attrs

from ridgesill.core.serving.load_reports import RequestClass

# Share of the rate that is divided equally against starvation.
_EQUAL_SHARE = 0.1
# Lowest share of its load that a class is served, as a multiple of the share
# over all classes. The equal part alone doesn't give it: of three priorities
# with the same load the last one would get a tenth of the mean.
_LEAST_SERVED = 0.25
# Upper bound for what that takes, as a share of a customer's fair part, so that
# a customer that offers many times its usual load gains nothing from it. With
# the equal part it leaves every customer the rest of its fair part.
_MAX_KEPT_PART = 1 - _EQUAL_SHARE
# Highest share of a customer's rate that returning callers get before others.
_RETURNS_SHARE = 0.5
# Lowest weight of a customer; lower ones count as this one.
_MIN_WEIGHT = 0.01


@attrs.frozen
class _Claim:
    """What one party to a division can get.

    Attributes:
        weight: its part relative to others.
        least: rate that it gets in any case.
        most: rate that it offers.
    """

    weight: float
    least: float
    most: float

    def at_level(self, level: float) -> float:
        """Returns its rate at a rate per weight."""
        return min(max(level * self.weight, self.least), self.most)


def divide(
    rate: float,
    offered: Mapping[RequestClass, float],
    weights: Mapping[str, float],
) -> dict[RequestClass, float]:
    """Returns the allowed rate of each class, in requests a second.

    A tenth of the rate is shared equally, and no class is served less than a
    quarter as often as all together, within its customer's fair part. The rest
    goes to the most urgent priority first. Within a priority customers get
    weighted max-min fair shares. Within a customer's share returning callers go
    first, up to half of it.

    Args:
        rate: requests a second that the service can serve.
        offered: requests a second that each class of one service offers.
        weights: weights of customers; a customer that isn't listed has 1.
    """
    allowed = dict.fromkeys(offered, 0.0)
    demands = {c: load for c, load in offered.items() if load > 0}
    if sum(demands.values()) <= rate:
        return allowed | demands
    left = max(rate, 0.0)
    kept = _keep_against_starvation(left, demands, weights)
    kept_for_rest = sum(kept.values())
    for classes in _group_by_priority(demands):
        kept_for_rest -= sum(kept[c] for c in classes)
        budget = max(left - kept_for_rest, 0.0)
        part = _divide_priority(budget, classes, demands, kept, weights)
        allowed |= part
        left -= sum(part.values())
    return allowed


def _group_by_priority(
    classes: Iterable[RequestClass],
) -> list[list[RequestClass]]:
    """Returns the classes of each priority, the most urgent first."""
    by_priority: dict[int, list[RequestClass]] = {}
    for request_class in classes:
        by_priority.setdefault(request_class.priority, []).append(request_class)
    return [by_priority[priority] for priority in sorted(by_priority)]


def _group_by_customer(
    classes: Iterable[RequestClass],
) -> dict[tuple[int, str], list[RequestClass]]:
    """Returns the classes of each customer within each priority."""
    groups: dict[tuple[int, str], list[RequestClass]] = {}
    for request_class in classes:
        group = (request_class.priority, request_class.customer)
        groups.setdefault(group, []).append(request_class)
    return groups


def _weigh(customer: str, weights: Mapping[str, float]) -> float:
    return max(weights.get(customer, 1.0), _MIN_WEIGHT)


def _keep_against_starvation(
    rate: float,
    demands: Mapping[RequestClass, float],
    weights: Mapping[str, float],
) -> dict[RequestClass, float]:
    """Returns the rate that each class gets in any case."""
    claims = [_Claim(1.0, 0.0, demand) for demand in demands.values()]
    equal = _find_level(_EQUAL_SHARE * rate, claims)
    least_share = _LEAST_SERVED * rate / sum(demands.values())
    groups = _group_by_customer(demands)
    all_weights = sum(_weigh(customer, weights) for _, customer in groups)
    kept = {}
    for (_, customer), classes in groups.items():
        fair_part = rate * _weigh(customer, weights) / all_weights
        most = _MAX_KEPT_PART * fair_part / len(classes)
        for one in classes:
            demand = demands[one]
            kept[one] = max(min(equal, demand), min(least_share * demand, most))
    return kept


def _divide_priority(
    budget: float,
    classes: Iterable[RequestClass],
    demands: Mapping[RequestClass, float],
    kept: Mapping[RequestClass, float],
    weights: Mapping[str, float],
) -> dict[RequestClass, float]:
    """Returns the allowed rates of the classes of one priority.

    Args:
        budget: rate for all of them; at least what is kept for them.
        classes: the classes.
        demands: what each class offers.
        kept: what each class gets in any case.
        weights: weights of customers.
    """
    groups = _group_by_customer(classes)
    claims = {
        group: _Claim(
            _weigh(group[1], weights),
            sum(kept[c] for c in members),
            sum(demands[c] for c in members),
        )
        for group, members in groups.items()
    }
    level = _find_level(budget, claims.values())
    allowed: dict[RequestClass, float] = {}
    for group, members in groups.items():
        share = claims[group].at_level(level)
        allowed |= _divide_customer(share, members, demands, kept)
    return allowed


def _divide_customer(
    share: float,
    classes: Iterable[RequestClass],
    demands: Mapping[RequestClass, float],
    kept: Mapping[RequestClass, float],
) -> dict[RequestClass, float]:
    """Returns the allowed rates of one customer's new and returning callers."""
    returning = {c: demands[c] for c in classes if c.is_return}
    new = {c: demands[c] for c in classes if not c.is_return}
    kept_for_new = sum(kept[c] for c in new)
    most = max(_RETURNS_SHARE * share, share - sum(new.values()))
    for_returns = min(most, share - kept_for_new, sum(returning.values()))
    for_returns = max(for_returns, sum(kept[c] for c in returning))
    allowed = dict.fromkeys(returning, for_returns)
    return allowed | dict.fromkeys(new, share - for_returns)


def _find_level(budget: float, claims: Iterable[_Claim]) -> float:
    """Returns the rate per weight at which the claims use up a budget.

    Water-filling: the level rises from 0. Each claim begins to grow with it at
    its least rate, and stops at its most.
    """
    claims = list(claims)
    changes = [(c.least / c.weight, c.weight) for c in claims]
    changes += [(c.most / c.weight, -c.weight) for c in claims]
    used = sum(c.least for c in claims)
    growth = level = 0.0
    for at, change in sorted(changes):
        gained = growth * (at - level)
        if used + gained >= budget and growth > 0:
            return level + (budget - used) / growth
        used += gained
        level = at
        growth += change
    return level
