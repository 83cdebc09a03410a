"""Tests of what fits in an engine."""

import pytest

from ridgesill.core.fleet.engine_capacity import fits, fits_from_empty
from ridgesill.core.serving.routes import EngineSpec, Model

# Memory for the first model and two adapters, or for both models and one
# adapter.
SPEC = EngineSpec(
    slots=8,
    weights_mb=150.0,
    adapter_slots=2,
    loads_per_second=4.0,
    models=(
        Model("base", 100.0, 1.0, 100, 10.0),
        Model("other", 40.0, 1.0, 100, 10.0),
    ),
)


class TestFits:
    @pytest.mark.parametrize(
        ("artifacts", "expected"),
        [
            (set(), True),
            ({"base", "base/a", "base/b"}, True),
            ({"base", "base/a", "base/b", "base/c"}, False),
            ({"base", "other", "base/a"}, True),
            ({"base", "other", "base/a", "other/a"}, False),
            # An unknown model counts as 0 MB.
            ({"base", "gone", "gone/a"}, True),
        ],
    )
    def test_slots_and_megabytes_are_limited(
        self, artifacts: set[str], expected: bool
    ) -> None:
        assert fits(SPEC, artifacts) is expected


class TestFitsFromEmpty:
    @pytest.mark.parametrize(
        ("chain", "expected"),
        [
            ([], True),
            ([{"base"}, {"base/a"}, {"base/b"}], True),
            ([{"base"}, {"base/a"}, set(), {"base/b"}, {"base/c"}], False),
            # Only one of the loads at an order count is carried out.
            ([{"base/a", "base/b"}, {"base/c"}], True),
            ([{"base", "other"}, {"base/a", "other/a"}, {"base/b"}], True),
            ([{"base"}, {"other"}, {"base/a"}, {"other/a"}], False),
            # The same adapter takes one slot.
            ([{"base/a"}, set(), {"base/a"}, {"base/b"}], True),
        ],
    )
    def test_a_chain_of_loads_must_fit_in_an_empty_engine(
        self, chain: list[set[str]], expected: bool
    ) -> None:
        assert fits_from_empty(SPEC, chain) is expected
