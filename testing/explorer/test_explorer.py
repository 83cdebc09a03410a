"""Tests of the owner's orders to engines under schedules of faults."""

import pytest

from testing.explorer.__main__ import explore
from testing.explorer.mutants import apply_mutant
from testing.explorer.schedules import (
    CutOneWay,
    LoseAnswers,
    Pause,
    ReplaceOwner,
    Restart,
    Schedule,
    UseAdapter,
    generate_schedule,
    run_schedule,
)

# Schedules of one test run. A longer run, such as 50,000 schedules, is started
# by hand with `python -m testing.explorer play`.
_SCHEDULES = 1000
_WIDE_SCHEDULES = 300
# The first of 3,000 seeds whose schedule detects each mutant. The mutants
# "successor-trusts", "no-thought-of-a-next-start" and "busy-reports-believed"
# have schedules of their own below. The other mutants weren't detected.
_DETECTING_SEEDS = {
    "count-of-each-copy": 151,
    "no-look-before-it-leaves": 3,
    "forget-the-unanswered": 18,
    "no-strays": 184,
    "no-starts": 24,
    "newcomers-trusted": 424,
}

# An engine restarts after its first orders got no answer.
_RESTART_AFTER_LOST_ANSWERS = Schedule(
    10100,
    (
        LoseAnswers(2.0, 0.9, (3.0, 2.0, 2.0)),
        Pause(2.5),
        Restart(0, same_name=True),
    ),
)

# The answer to an order to load a base model is lost.
_BASE_MODEL_ANSWER_LOST = Schedule(
    727,
    (
        Pause(0.6),
        CutOneWay(0, 0.3, "deaf"),
        LoseAnswers(6.0, 0.6, (2.0, 4.0, 3.0)),
        Pause(0.6),
        LoseAnswers(2.0, 0.3, (2.0, 0.0, 0.0)),
        CutOneWay(0, 3.0, "deaf"),
    ),
    limited_memory=True,
)
# Both base models are loaded on one engine.
_MEMORY_FULL = Schedule(
    1748,
    (LoseAnswers(0.5, 0.9, (0.0, 0.0, 3.0)), Pause(0.6)),
    limited_memory=True,
)


class TestOrders:
    @pytest.mark.timeout(300)
    def test_no_schedule_violates_an_invariant(self) -> None:
        assert explore(_SCHEDULES) == {}

    @pytest.mark.timeout(300)
    def test_no_wide_schedule_violates_an_invariant(self) -> None:
        assert explore(_WIDE_SCHEDULES, wide=True) == {}

    def test_a_new_owner_sends_no_orders_to_a_restarted_engine(self) -> None:
        # An engine restarted under the same name at the moment in which its
        # owner was lost. The new owner knew neither start and raised the order
        # count of the later one to 9, with all adapter slots occupied. There a
        # delayed load for the earlier start, which named count 9, ran:
        #
        #     3.882  load a2 at 9 runs in 6.0
        #     4.800  starts as u1 2001
        #     8.284  load a2 at 6: 202
        #    10.070  load a2 at 9: 202, holds [a1, a10, a6] [a2]
        schedule = Schedule(
            424,
            (
                Pause(0.2),
                LoseAnswers(6.0, 0.6, (3.0, 2.0, 12.0)),
                Pause(1.5),
                UseAdapter(1),
                LoseAnswers(2.0, 0.3, (6.0, 4.0, 3.0)),
                Pause(1.5),
                Restart(1, same_name=True),
                ReplaceOwner(knows_fleet=False),
                LoseAnswers(2.0, 0.3, (0.0, 3.0, 2.0)),
            ),
        )
        violations, _ = run_schedule(schedule)
        assert not violations

    def test_a_new_owner_waits_until_orders_to_an_earlier_start_expire(
        self,
    ) -> None:
        # The shortest schedule with the failure of the previous test.
        schedule = Schedule(
            1063,
            (
                LoseAnswers(6.0, 0.3, (4.0, 6.0, 4.0)),
                Pause(2.5),
                Restart(1, same_name=True),
                ReplaceOwner(knows_fleet=False),
            ),
        )
        violations, _ = run_schedule(schedule)
        assert not violations

    def test_delayed_orders_to_an_earlier_start_overfill_no_engine(
        self,
    ) -> None:
        # An engine restarted under the same name within seconds of its first
        # orders, most of which got no answer. On the later start, which has
        # three adapter slots, four delayed loads for the earlier start ran one
        # after another, at the order counts 0 to 3. The earlier start had
        # unloaded adapters between them. The owner sent the later start no
        # order:
        #
        #     4.100  starts as u0
        #     4.156  load a1 at 0: 409, holds [] [a2]
        #     5.308  load a5 at 1: 202, holds [a2] [a5]
        #     5.356  load a3 at 2: 202, holds [a2] [a3, a5]
        #     5.510  load a6 at 3: 202, holds [a2] [a3, a5, a6]
        violations, _ = run_schedule(_RESTART_AFTER_LOST_ANSWERS)
        assert not violations


class TestMemory:
    def test_a_loading_base_model_keeps_its_memory_reserved(self) -> None:
        # An engine accepted a load of a base model, but its answer was lost,
        # and it refused the next copy of the order. A report lists the adapters
        # being loaded, but not the model. The owner took a report from during
        # the load, at the next order count, to mean that the load had failed,
        # and gave its memory to an adapter:
        #
        #     3.242  load other at 3: 202, answer lost
        #     3.292  load other at 3: 409
        #     4.304  load a1 at 4: 202, holds [base/a2, base/a8] [base/a1]
        #     u1 exceeded its memory
        violations, _ = run_schedule(_BASE_MODEL_ANSWER_LOST)
        assert not violations
        with apply_mutant("busy-reports-believed"):
            violations, _ = run_schedule(_BASE_MODEL_ANSWER_LOST)
        assert violations

    def test_an_adapter_is_unloaded_if_slots_are_free_but_memory_is_full(
        self,
    ) -> None:
        # Both models and two adapters fill an engine's memory, while one of its
        # three adapter slots is free. That slot was chosen for every further
        # adapter, no order for it could be sent, and the engine loaded nothing
        # any more.
        violations, _ = run_schedule(_MEMORY_FULL)
        assert not violations


class TestMutants:
    @pytest.mark.parametrize(("mutant", "seed"), list(_DETECTING_SEEDS.items()))
    def test_a_random_schedule_detects_a_mutant(
        self, mutant: str, seed: int
    ) -> None:
        with apply_mutant(mutant):
            violations, _ = run_schedule(generate_schedule(seed))
        assert violations

    def test_a_schedule_detects_successor_trusts(self) -> None:
        # The owner had noticed the restart and was lost within 13 s of it.
        schedule = Schedule(
            305,
            (
                LoseAnswers(6.0, 0.6, (3.0, 6.0, 4.0)),
                Pause(1.5),
                Restart(1, same_name=True),
                Pause(0.7),
                ReplaceOwner(knows_fleet=True),
            ),
        )
        assert not run_schedule(schedule)[0]
        with apply_mutant("successor-trusts"):
            violations, _ = run_schedule(schedule)
        assert violations

    def test_a_schedule_detects_no_thought_of_a_next_start(self) -> None:
        with apply_mutant("no-thought-of-a-next-start"):
            violations, _ = run_schedule(_RESTART_AFTER_LOST_ANSWERS)
        assert violations
