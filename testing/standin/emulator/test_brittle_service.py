"""Tests of permits for slots at the sizes of the fleet.

No test had brittle upstreams under more than one front.
"""

import pytest

from ridgesill.standin.emulator.brittle_service import (
    BrittlePlan,
    play_brittle_service,
)

_USED_SHARE = 0.9
_REFUSED_SECONDS = 0.3
# The same where slots are taken beside requests.
_SHARED_USED_SHARE = 0.8
# Falls that four upstreams, or seven, may have.
_FALLS = 2
_UPSTREAMS = 7


class TestBrittleService:
    @pytest.mark.parametrize("fronts", [6, 71, 330])
    @pytest.mark.parametrize("share", [0.7, 1.3, 3.0])
    def test_fronts_of_a_large_fleet_do_not_overrun_the_slots(
        self, fronts: int, share: float
    ) -> None:
        figures = play_brittle_service(BrittlePlan(fronts, share))
        assert figures.falls <= _FALLS
        fits = min(1.0, 1.0 / share)
        assert figures.served >= _USED_SHARE * fits * figures.sent
        assert max(figures.refusal_seconds, default=0.0) <= _REFUSED_SECONDS

    @pytest.mark.parametrize("fronts", [79, 330])
    @pytest.mark.parametrize("bound", [1.0, 3.0])
    @pytest.mark.parametrize(
        "fields",
        [
            {"connection_seconds": 0.001},
            {"connection_seconds": 0.03},
            {"break_share": 0.05, "linger_seconds": 0.5},
        ],
        ids=["connections", "slow connections", "broken answers"],
    )
    def test_slots_taken_beside_requests_neither_fell_nor_idle_them(
        self, fronts: int, bound: float, fields: dict[str, float]
    ) -> None:
        plan = BrittlePlan(
            fronts,
            0.6,
            upstreams=_UPSTREAMS,
            run_seconds=0.12,
            bound=bound,
            **fields,  # type: ignore[arg-type]
        )
        figures = play_brittle_service(plan)
        assert figures.falls <= _FALLS
        whole = 1.0 - plan.break_share
        assert figures.served >= _SHARED_USED_SHARE * whole * figures.sent
        assert max(figures.refusal_seconds, default=0.0) <= _REFUSED_SECONDS

    @pytest.mark.parametrize("fronts", [6, 71, 330])
    def test_a_lost_owner_neither_fells_them_nor_delays_refusals(
        self, fronts: int
    ) -> None:
        plan = BrittlePlan(fronts, 1.3, owner_lost=(8.0, 10.0))
        figures = play_brittle_service(plan)
        assert figures.falls <= _FALLS
        assert max(figures.refusal_seconds, default=0.0) <= _REFUSED_SECONDS
