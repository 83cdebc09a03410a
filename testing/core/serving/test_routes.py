"""Tests of routes by host and prefix."""

from ridgesill.core.serving.routes import Route, RouteTable, Target


def route(name: str, prefix: str, **fields: object) -> Route:
    """Returns a route."""
    given = {
        "host": "a.example",
        "kind": "safe",
        "timeout": 1.0,
        "goal": 0.2,
        "priority": 0,
        "targets": (Target("s"),),
        **fields,
    }
    return Route(name=name, prefix=prefix, **given)  # type: ignore[arg-type]


class TestFind:
    def test_the_longest_prefix_that_begins_the_path_wins(self) -> None:
        table = RouteTable(1, [route("r1", "/x/"), route("r2", "/x/y/")])
        assert table.find("a.example", "/x/y/z").name == "r2"
        assert table.find("a.example", "/x/yy").name == "r1"

    def test_a_prefix_is_whole_segments(self) -> None:
        table = RouteTable(1, [route("r1", "/x/")])
        assert table.find("a.example", "/xy/") is None
        assert table.find("a.example", "/x") is None

    def test_the_host_counts_without_port_and_case(self) -> None:
        table = RouteTable(1, [route("r1", "/x/")])
        assert table.find("A.Example:8080", "/x/1").name == "r1"
        assert table.find("b.example", "/x/1") is None


class TestSplit:
    def test_weights_share_the_draws(self) -> None:
        split = route("r", "/", targets=(Target("a", 90), Target("b", 10)))
        assert split.choose_target(0.0) == "a"
        assert split.choose_target(0.899) == "a"
        assert split.choose_target(0.901) == "b"

    def test_a_weight_of_zero_gets_nothing(self) -> None:
        split = route("r", "/", targets=(Target("a", 0), Target("b", 1)))
        assert split.choose_target(0.0) == "b"


class TestIdempotent:
    def test_streams_only_where_they_can_be_resumed(self) -> None:
        assert route("r", "/", kind="safe").is_idempotent
        assert not route("r", "/", kind="unsafe").is_idempotent
        assert not route("r", "/", kind="stream").is_idempotent
        assert route("r", "/", kind="stream", resumable=True).is_idempotent
