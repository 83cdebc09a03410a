"""What a front reports about the load on upstreams and services.

The owner of the fleet adds up the reports of all fronts. From them it learns
how fast each upstream is, how much a service can serve, and whose requests
compete for it.
"""

from collections.abc import Mapping

import attrs

from ridgesill.core.codec import register
from ridgesill.core.serving.sums import add_by_name

# Separates the parts of the key of a request class; it can't occur in names.
_KEY_SEPARATOR = "\n"


@register
@attrs.frozen
class UpstreamCalls:
    """What the answers of one upstream have shown since the last report.

    Attributes:
        answered: number of complete answers.
        seconds: total time from sending these requests to the ends of their
            answers.
        rejected: number of requests that the upstream rejected without running
            them because it was full.
        failed: number of requests that it failed: no answer, a broken one, or
            a server error.
        paced: number of streams whose events came often enough to tell the
            pace.
        typical_gaps: sum over these streams of the typical time between two
            events, in seconds.
        longest_gaps: sum over these streams of the longest time between two
            events, in seconds.
    """

    answered: int = 0
    seconds: float = 0.0
    rejected: int = 0
    failed: int = 0
    paced: int = 0
    typical_gaps: float = 0.0
    longest_gaps: float = 0.0

    def plus(self, other: "UpstreamCalls") -> "UpstreamCalls":
        """Returns the sum of two reports."""
        return UpstreamCalls(
            self.answered + other.answered,
            self.seconds + other.seconds,
            self.rejected + other.rejected,
            self.failed + other.failed,
            self.paced + other.paced,
            self.typical_gaps + other.typical_gaps,
            self.longest_gaps + other.longest_gaps,
        )


Calls = Mapping[str, UpstreamCalls]


def add_calls(one: Calls, other: Calls) -> dict[str, UpstreamCalls]:
    """Returns the sum of two reports, by upstream."""
    return add_by_name(one, other)


@attrs.frozen
class RequestClass:
    """Requests that are alike when a service can't serve all requests.

    Attributes:
        service: service that the requests go to.
        priority: 0 is the most urgent; the customer's, or else the route's.
        customer: name of the customer; empty where callers have no keys.
        is_return: whether the callers were refused before, and came back when
            they had been told to.
    """

    service: str
    priority: int = 0
    customer: str = ""
    is_return: bool = False

    @property
    def key(self) -> str:
        """The name of the class in reports and news."""
        kind = "return" if self.is_return else "new"
        return _KEY_SEPARATOR.join(
            (self.service, str(self.priority), kind, self.customer)
        )


def parse_class_key(key: str) -> RequestClass | None:
    """Returns the class that a key names; None if the key is malformed."""
    parts = key.split(_KEY_SEPARATOR, 3)
    if len(parts) != 4 or not parts[1].isdecimal():
        return None
    service, priority, kind, customer = parts
    return RequestClass(service, int(priority), customer, kind == "return")
