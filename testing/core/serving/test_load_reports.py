"""Tests of the reports on the load of upstreams and services."""

import pytest

from ridgesill.core.fleet.use_reports import OutgoingReports, Sent
from ridgesill.core.serving.load_reports import (
    RequestClass,
    UpstreamCalls,
    add_calls,
    parse_class_key,
)
from ridgesill.core.serving.rates import RateUse


class TestUpstreamCalls:
    def test_reports_of_fronts_add_up(self) -> None:
        one = {"u1": UpstreamCalls(2, 0.5, 1, 0, 1, 0.04, 0.2)}
        other = {
            "u1": UpstreamCalls(1, 0.25, 0, 3, 1, 0.06, 0.1),
            "u2": UpstreamCalls(1, 0.1),
        }
        assert add_calls(one, other) == {
            "u1": UpstreamCalls(
                3, 0.75, 1, 3, 2, pytest.approx(0.1), pytest.approx(0.3)
            ),
            "u2": UpstreamCalls(1, 0.1),
        }


class TestRequestClass:
    @pytest.mark.parametrize(
        "request_class",
        [
            RequestClass("portal"),
            RequestClass("a/b|c", 7, "customer\nwith a break", True),
        ],
    )
    def test_a_key_names_its_class(self, request_class: RequestClass) -> None:
        assert parse_class_key(request_class.key) == request_class

    @pytest.mark.parametrize("key", ["", "portal", "a\nx\nnew\nc", "a\n-1\n"])
    def test_a_malformed_key_names_none(self, key: str) -> None:
        """Guards against a damaged report that ends the owner's task."""
        assert parse_class_key(key) is None


class TestReporting:
    def test_offers_and_calls_are_reported_once(self) -> None:
        """Guards against load that two nodes count, or none."""
        reports = OutgoingReports()
        key = RequestClass("portal").key
        sent = Sent(
            since=1.0,
            offers={key: RateUse(1, 2)},
            calls={"u1": UpstreamCalls(1, 0.1)},
        )
        reports.add(sent)
        asked = reports.make_reports("a", 1.5)
        assert [(r.offers, r.calls, r.span) for r in asked] == [
            (sent.offers, sent.calls, 0.5)
        ]
        reports.handle_answer("a", asked, ())
        again = reports.make_reports("b", 2.0)
        assert [(r.offers, r.calls) for r in again] == [
            (sent.offers, sent.calls)
        ]
        reports.handle_answer("b", again, [r.number for r in again])
        assert reports.make_reports("c", 2.5) == ()
