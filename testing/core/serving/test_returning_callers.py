"""Tests of how callers that return after a refusal are recognized."""

from ridgesill.core.serving.returning_callers import ReturningCallers

PATIENCE = 4.184


class TestReturns:
    def test_a_caller_with_less_time_is_a_returning_one(self) -> None:
        callers = ReturningCallers()
        assert not callers.record("r", PATIENCE, 0.0)
        assert callers.record("r", PATIENCE - 0.25, 0.5)
        assert not callers.record("other", PATIENCE - 0.25, 0.5)

    def test_a_caller_that_retries_at_once_gains_nothing(self) -> None:
        # Load pattern: clients that ignore `Retry-After` and retry at once.
        callers = ReturningCallers()
        attempts = [
            callers.record("r", PATIENCE - n / 50, n / 50) for n in range(12)
        ]
        assert not any(attempts)

    def test_a_caller_for_whom_there_was_no_room_competes_with_new_ones(
        self,
    ) -> None:
        # Load pattern: an overload that lasts. Served first, callers that were
        # refused without a booking would take all places of new ones.
        callers = ReturningCallers()
        callers.record("r", PATIENCE, 0.0)
        assert callers.record("r", PATIENCE - 1.33, 1.33)
        assert not callers.record("r", PATIENCE - 1.39, 1.39)

    def test_a_caller_that_states_no_time_is_a_new_one(self) -> None:
        callers = ReturningCallers()
        callers.record("r", PATIENCE, 0.0)
        assert not callers.record("r", 0.0, 0.1)

    def test_returning_callers_are_recognized_while_new_ones_are_rare(
        self,
    ) -> None:
        # Load pattern: one of 330 fronts, which has a new caller of the route
        # only each 15 s.
        callers = ReturningCallers()
        for n in range(20):
            assert not callers.record("r", PATIENCE, n * 15.0)
            assert callers.record("r", PATIENCE - 0.3, n * 15.0 + 14.0)

    def test_a_longer_time_than_callers_still_state_is_forgotten(self) -> None:
        # Otherwise one odd caller, or a change of what clients wait, would
        # have all callers taken for returning ones.
        callers = ReturningCallers()
        callers.record("r", 6.0, 0.0)
        assert callers.record("r", PATIENCE, 1.0)
        callers.record("r", PATIENCE, 31.0)
        assert not callers.record("r", PATIENCE, 62.0)
        assert callers.record("r", PATIENCE - 0.3, 63.0)
