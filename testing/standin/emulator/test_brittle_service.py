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
# Falls that four upstreams may have.
_FALLS = 2


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

    @pytest.mark.parametrize("fronts", [6, 71, 330])
    def test_a_lost_owner_neither_fells_them_nor_delays_refusals(
        self, fronts: int
    ) -> None:
        plan = BrittlePlan(fronts, 1.3, owner_lost=(8.0, 10.0))
        figures = play_brittle_service(plan)
        assert figures.falls <= _FALLS
        assert max(figures.refusal_seconds, default=0.0) <= _REFUSED_SECONDS
