"""Tests of what fits in an engine."""

import pytest

from ridgesill.core.fleet.engine_capacity import fits, fits_from_empty
from ridgesill.core.serving.routes import EngineSpec, Model

# One model or both, and two adapters beside the first or one beside both.
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


class TestTogether:
    @pytest.mark.parametrize(
        ("artifacts", "fit"),
        [
            (set(), True),
            ({"base", "base/a", "base/b"}, True),
            ({"base", "base/a", "base/b", "base/c"}, False),
            ({"base", "other", "base/a"}, True),
            ({"base", "other", "base/a", "other/a"}, False),
            # A model that no configuration names weighs nothing known.
            ({"base", "gone", "gone/a"}, True),
        ],
    )
    def test_places_and_megabytes_count(
        self, artifacts: set[str], fit: bool
    ) -> None:
        assert fits(SPEC, artifacts) is fit


class TestChainsFromEmpty:
    @pytest.mark.parametrize(
        ("chain", "fit"),
        [
            ([], True),
            ([{"base"}, {"base/a"}, {"base/b"}], True),
            ([{"base"}, {"base/a"}, set(), {"base/b"}, {"base/c"}], False),
            # One of those at a count is carried out.
            ([{"base/a", "base/b"}, {"base/c"}], True),
            ([{"base", "other"}, {"base/a", "other/a"}, {"base/b"}], True),
            ([{"base"}, {"other"}, {"base/a"}, {"other/a"}], False),
            # The same adapter takes one place.
            ([{"base/a"}, set(), {"base/a"}, {"base/b"}], True),
        ],
    )
    def test_whether_an_empty_engine_has_room(
        self, chain: list[set[str]], fit: bool
    ) -> None:
        assert fits_from_empty(SPEC, chain) is fit
