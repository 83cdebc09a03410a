"""Tests of measuring the times between events of a stream."""

import pytest

from ridgesill.core.serving.stream_gaps import StreamGaps

EVENT = b"id: 1\ndata: x\n\n"


def measure(*arrivals: tuple[float, bytes]) -> tuple[float, float] | None:
    """Returns the typical and the longest gap of data with arrival times."""
    gaps = StreamGaps()
    for arrived_at, data in arrivals:
        gaps.record_data(data, arrived_at)
    calls = gaps.make_calls()
    if calls is None:
        return None
    assert calls.paced == 1
    return calls.typical_gaps, calls.longest_gaps


class TestStreamGaps:
    def test_one_pause_changes_only_the_longest_gap(self) -> None:
        times = (0.0, 0.05, 0.1, 0.15, 0.45, 0.5)
        found = measure(*((at, EVENT) for at in times))
        assert found == pytest.approx((0.05, 0.3))

    def test_answers_of_few_gaps_do_not_count(self) -> None:
        assert measure(*((0.1 * n, EVENT) for n in range(4))) is None
        assert measure(*((0.1 * n, EVENT) for n in range(5))) is not None

    @pytest.mark.parametrize("event", [EVENT, b"data: x\r\n\r\n"])
    @pytest.mark.parametrize("cut", [1, 3, 5])
    def test_an_event_counts_when_its_last_byte_arrives(
        self, event: bytes, cut: int
    ) -> None:
        # Without a splitter, data may end within the end of an event.
        parts = []
        for n in range(5):
            parts.append((0.1 * n, event[:-cut]))
            parts.append((0.1 * n + 0.04, event[-cut:]))
        assert measure(*parts) == pytest.approx((0.1, 0.1))

    def test_events_that_arrive_together_share_the_time(self) -> None:
        # Guards against a delayed front that makes engines look slow.
        arrivals = ((0.1 * n, EVENT * 2) for n in range(4))
        assert measure(*arrivals) == pytest.approx((0.05, 0.1))

    def test_events_that_are_only_read_together_share_the_time(self) -> None:
        # Guards against gaps of some microseconds from events that waited in
        # this process, which made engines look a thousand times as fast.
        arrivals = []
        for n in range(4):
            arrivals += [(0.1 * n, EVENT), (0.1 * n + 2e-5, EVENT)]
        assert measure(*arrivals) == pytest.approx((0.05, 0.1))

    def test_a_wait_for_the_client_is_no_gap(self) -> None:
        gaps = StreamGaps()
        for n in range(10):
            gaps.record_data(EVENT, 0.05 * n + (3.0 if n >= 5 else 0.0))
            if n == 4:
                gaps.restart()
        calls = gaps.make_calls()
        assert calls is not None
        assert calls.longest_gaps == pytest.approx(0.05)

    def test_thousands_of_events_are_measured_in_bounded_memory(self) -> None:
        gaps = StreamGaps()
        for n in range(5000):
            gaps.record_data(EVENT, 0.01 * n + (1.0 if n > 4000 else 0.0))
        calls = gaps.make_calls()
        assert calls is not None
        assert len(gaps._gaps) < 300
        assert calls.typical_gaps == pytest.approx(0.01)
        assert calls.longest_gaps == pytest.approx(1.01)
