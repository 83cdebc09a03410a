"""Tests of what a front refuses when engines take too long to begin."""

from ridgesill.core.serving.admission import AdmissionControl


def admission(first: float) -> AdmissionControl:
    """Returns a measure after a second of first events that took so long."""
    made = AdmissionControl()
    for number in range(100):
        made.record_first_event(first, number / 100)
    return made


class TestAdmission:
    def test_nothing_is_refused_while_first_events_are_in_time(self) -> None:
        assert admission(0.2).refused_share(1.2, 0.6, 1.0) == 0.0

    def test_a_part_is_refused_when_they_near_the_goal(self) -> None:
        some = admission(0.45).refused_share(1.2, 0.6, 1.0)
        more = admission(0.55).refused_share(1.2, 0.6, 1.0)
        assert 0.0 < some < more <= 0.5

    def test_a_longer_goal_bears_more(self) -> None:
        measured = admission(0.55)
        assert measured.refused_share(1.2, 1.0, 1.0) == 0.0

    def test_nothing_is_refused_while_places_are_free(self) -> None:
        assert admission(2.0).refused_share(0.5, 0.6, 1.0) == 0.0

    def test_an_old_measure_says_nothing(self) -> None:
        assert admission(2.0).refused_share(1.2, 0.6, 4.0) == 0.0
