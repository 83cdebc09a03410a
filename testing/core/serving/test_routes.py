"""Tests of routes by host and prefix."""

from ridgesill.core.serving.routes import (
    EngineSpec,
    Route,
    RouteTable,
    Service,
    Target,
)


def make_route(name: str, prefix: str, **fields: object) -> Route:
    """Returns a safe route of host `a.example`, unless overridden."""
    values = {
        "host": "a.example",
        "kind": "safe",
        "timeout": 1.0,
        "goal": 0.2,
        "priority": 0,
        "targets": (Target("s"),),
        **fields,
    }
    return Route(name=name, prefix=prefix, **values)  # type: ignore[arg-type]


class TestFind:
    def test_the_longest_prefix_that_begins_the_path_wins(self) -> None:
        table = RouteTable(
            1, [make_route("r1", "/x/"), make_route("r2", "/x/y/")]
        )
        assert table.find("a.example", "/x/y/z").name == "r2"
        assert table.find("a.example", "/x/yy").name == "r1"

    def test_a_prefix_matches_whole_segments(self) -> None:
        table = RouteTable(1, [make_route("r1", "/x/")])
        assert table.find("a.example", "/xy/") is None
        assert table.find("a.example", "/x") is None

    def test_hosts_match_without_port_and_case(self) -> None:
        table = RouteTable(1, [make_route("r1", "/x/")])
        assert table.find("A.Example:8080", "/x/1").name == "r1"
        assert table.find("b.example", "/x/1") is None


class TestSplit:
    def test_requests_are_split_by_weight(self) -> None:
        split = make_route("r", "/", targets=(Target("a", 90), Target("b", 10)))
        assert split.choose_target(0.0) == "a"
        assert split.choose_target(0.899) == "a"
        assert split.choose_target(0.901) == "b"

    def test_a_weight_of_zero_gets_nothing(self) -> None:
        split = make_route("r", "/", targets=(Target("a", 0), Target("b", 1)))
        assert split.choose_target(0.0) == "b"


class TestIsIdempotent:
    def test_streams_are_idempotent_only_if_resumable(self) -> None:
        assert make_route("r", "/", kind="safe").is_idempotent
        assert not make_route("r", "/", kind="unsafe").is_idempotent
        assert not make_route("r", "/", kind="stream").is_idempotent
        assert make_route("r", "/", kind="stream", resumable=True).is_idempotent


class TestShortestPlainGoals:
    def test_are_of_plain_services_with_goals(self) -> None:
        engine = EngineSpec(4, 9.0, 4, 1.0, ())
        services = [
            Service("s", "/", 0),
            Service("other", "/", 0),
            Service("engines", "/", 0, engine),
        ]
        routes = [
            make_route("r1", "/1/", goal=0.344),
            make_route("r2", "/2/", goal=0.342),
            make_route("r3", "/3/", goal=0.1, targets=(Target("engines"),)),
            make_route("r4", "/4/", goal=0.0, targets=(Target("other"),)),
            make_route("r5", "/5/", goal=0.1, targets=(Target("unknown"),)),
        ]
        table = RouteTable(1, routes, services)
        assert table.shortest_plain_goals() == {"s": 0.342}


class TestShortestPauseGoal:
    def test_only_positive_goals_of_the_service_count(self) -> None:
        table = RouteTable(
            1,
            [
                make_route("r1", "/1/", pause_goal=0.6),
                make_route("r2", "/2/", pause_goal=0.3),
                make_route("r3", "/3/"),
                make_route("r4", "/4/", pause_goal=0.1, targets=(Target("t"),)),
            ],
        )
        assert table.shortest_pause_goal("s") == 0.3
        assert table.shortest_pause_goal("u") == 0.0
