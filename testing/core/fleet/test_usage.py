"""Tests of what fronts say they use."""

from ridgesill.core.fleet.usage import Usage


class TestUsage:
    def test_fronts_add_up(self) -> None:
        usage = Usage()
        usage.note("f1", {"u1": {"m/a1": 2, "m/a2": 1}}, 0.0)
        usage.note("f2", {"u1": {"m/a1": 1}, "u2": {"": 4}}, 0.0)
        assert usage.busy() == {"u1": 4, "u2": 4}
        assert usage.artifacts("u1") == {"m/a1", "m/a2"}

    def test_the_latest_word_counts(self) -> None:
        usage = Usage()
        usage.note("f1", {"u1": {"m/a1": 2}}, 0.0)
        usage.note("f1", {}, 1.0)
        assert usage.busy() == {}

    def test_a_silent_front_uses_nothing(self) -> None:
        usage = Usage()
        usage.note("f1", {"u1": {"m/a1": 2}}, 0.0)
        usage.forget_silent(5.0)
        assert (usage.fronts, usage.busy()) == (0, {})
