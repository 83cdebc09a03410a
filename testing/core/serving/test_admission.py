"""Tests of the share of requests that a front refuses during overload."""

from ridgesill.core.serving.admission import AdmissionControl


def make_admission(seconds: float) -> AdmissionControl:
    """Returns a control after a second of first events at this delay."""
    admission = AdmissionControl()
    for number in range(100):
        admission.record_first_event(seconds, number / 100)
    return admission


class TestAdmission:
    def test_nothing_is_refused_while_first_events_are_in_time(self) -> None:
        assert make_admission(0.2).refused_share(1.2, 0.6, 1.0) == 0.0

    def test_a_share_is_refused_when_first_events_near_the_goal(self) -> None:
        near = make_admission(0.45).refused_share(1.2, 0.6, 1.0)
        nearer = make_admission(0.55).refused_share(1.2, 0.6, 1.0)
        assert 0.0 < near < nearer <= 0.5

    def test_a_longer_goal_tolerates_later_first_events(self) -> None:
        admission = make_admission(0.55)
        assert admission.refused_share(1.2, 1.0, 1.0) == 0.0

    def test_nothing_is_refused_while_slots_are_free(self) -> None:
        assert make_admission(2.0).refused_share(0.5, 0.6, 1.0) == 0.0

    def test_an_expired_mean_refuses_nothing(self) -> None:
        assert make_admission(2.0).refused_share(1.2, 0.6, 4.0) == 0.0
