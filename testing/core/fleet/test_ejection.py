"""Tests of the ejection of plain upstreams that fail requests."""

import attrs
import pytest

from ridgesill.core.fleet.ejection import Ejections
from ridgesill.core.fleet.messages import DRAINING, Upstream

_UPSTREAMS = [Upstream(f"u{n}", "s", f"h{n}", "a", 6) for n in range(4)]


def make_ejections(upstreams: list[Upstream] | None = None) -> Ejections:
    """Returns the ejections of a service at time 0."""
    ejections = Ejections()
    ejections.update(upstreams or _UPSTREAMS, set(), 0.0)
    return ejections


def record(
    ejections: Ejections, now: float, **outcomes: tuple[int, int]
) -> set[str]:
    """Records successes and failures; returns which upstreams are ejected."""
    for name, (succeeded, failed) in outcomes.items():
        ejections.record(name, succeeded, failed, now)
    ejections.update(_UPSTREAMS, set(), now)
    return ejections.ejected


class TestEjection:
    def test_a_single_failure_never_ejects(self) -> None:
        # Guards against ejecting an idle upstream for one lost packet.
        ejections = make_ejections()
        assert not record(ejections, 0.1, u1=(0, 1))
        assert not record(ejections, 0.2, u1=(2, 0))

    def test_three_failures_eject_an_idle_upstream(self) -> None:
        ejections = make_ejections()
        assert not record(ejections, 0.1, u1=(0, 2))
        assert record(ejections, 0.2, u1=(0, 1)) == {"u1"}

    def test_an_upstream_that_resets_is_ejected_among_successes(self) -> None:
        # Guards against a long memory of the answers before the fault.
        ejections = make_ejections()
        record(ejections, 0.1, u0=(90, 0), u1=(90, 0))
        assert record(ejections, 0.2, u0=(9, 0), u1=(0, 9)) == {"u1"}

    def test_failures_of_all_upstreams_eject_none(self) -> None:
        ejections = make_ejections()
        failing = {u.name: (2, 8) for u in _UPSTREAMS}
        assert not record(ejections, 0.1, **failing)

    def test_at_most_half_of_a_service_is_ejected(self) -> None:
        ejections = make_ejections()
        record(ejections, 0.1, u0=(0, 9))
        record(ejections, 0.2, u1=(0, 9))
        assert record(ejections, 0.3, u2=(0, 9)) == {"u0", "u1"}

    def test_the_last_usable_upstream_is_never_ejected(self) -> None:
        pair = _UPSTREAMS[:2]
        ejections = make_ejections(pair)
        ejections.record("u0", 0, 9, 0.1)
        ejections.update(pair, {"u1"}, 0.1)
        assert not ejections.ejected

    def test_upstreams_are_readmitted_if_too_few_remain(self) -> None:
        # Guards against a service without upstreams when healthy ones leave.
        ejections = make_ejections()
        record(ejections, 0.1, u0=(0, 9))
        record(ejections, 0.2, u1=(1, 9))
        left = [attrs.evolve(u, state=DRAINING) for u in _UPSTREAMS[2:]]
        ejections.update(_UPSTREAMS[:2] + left, set(), 0.3)
        assert ejections.ejected == {"u0"}


class TestReadmission:
    def test_one_successful_probe_readmits_at_first(self) -> None:
        # Fronts send two probes a second, so waiting for more takes seconds.
        ejections = make_ejections()
        record(ejections, 0.1, u1=(0, 9))
        assert record(ejections, 0.8, u1=(0, 1)) == {"u1"}
        assert not record(ejections, 1.3, u1=(1, 0))

    def test_late_answers_from_before_the_ejection_do_not_count(self) -> None:
        ejections = make_ejections()
        record(ejections, 0.1, u1=(0, 9))
        assert record(ejections, 0.4, u1=(3, 0)) == {"u1"}

    def test_each_ejection_in_a_row_needs_more_probes(self) -> None:
        # Guards against losing requests time and again to an upstream that
        # fails half of them.
        ejections = make_ejections()
        record(ejections, 0.1, u1=(0, 9))
        record(ejections, 1.0, u1=(1, 0))
        record(ejections, 1.2, u1=(0, 9))
        assert record(ejections, 2.0, u1=(1, 0)) == {"u1"}
        assert not record(ejections, 2.5, u1=(1, 0))

    def test_without_probes_it_is_tried_again(self) -> None:
        # A service with no repeatable requests gets no probes.
        ejections = make_ejections()
        record(ejections, 0.1, u1=(0, 9))
        assert record(ejections, 6.0) == {"u1"}
        assert not record(ejections, 6.2)

    @pytest.mark.parametrize("outcome", [(0, 1), (1, 0)])
    def test_an_earlier_owners_ejection_is_adopted(
        self, outcome: tuple[int, int]
    ) -> None:
        ejected = attrs.evolve(_UPSTREAMS[1], is_ejected=True)
        ejections = make_ejections([_UPSTREAMS[0], ejected, *_UPSTREAMS[2:]])
        assert ejections.ejected == {"u1"}
        still_ejected = {"u1"} if outcome[1] else set()
        assert record(ejections, 1.0, u1=outcome) == still_ejected
