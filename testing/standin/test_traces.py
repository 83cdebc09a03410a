"""Tests of traces: generation, files and offline misses."""

from pathlib import Path

import pytest

from ridgesill.standin.traces import (
    TracedRequest,
    Workload,
    count_offline_misses,
    make_trace,
    read_trace,
    write_trace,
)

_SMALL = Workload(seconds=20.0, rate=10.0, adapters=100)


class TestMakeTrace:
    def test_equal_seeds_make_equal_traces(self) -> None:
        assert make_trace(_SMALL, 1) == make_trace(_SMALL, 1)
        assert make_trace(_SMALL, 1) != make_trace(_SMALL, 2)

    def test_names_are_unique_and_times_rise(self) -> None:
        trace = make_trace(_SMALL, 1)
        assert len({request.name for request in trace}) == len(trace)
        assert [r.at for r in trace] == sorted(r.at for r in trace)


class TestReadTrace:
    def test_it_reads_what_was_written(self, tmp_path: Path) -> None:
        trace = make_trace(_SMALL, 1)
        write_trace(trace, tmp_path / "trace")
        assert read_trace(tmp_path / "trace") == trace

    def test_an_invalid_line_is_named_in_the_error(
        self, tmp_path: Path
    ) -> None:
        path = tmp_path / "trace"
        write_trace(make_trace(_SMALL, 1)[:2], path)
        path.write_bytes(path.read_bytes() + b"{}\n")
        with pytest.raises(ValueError, match="line 3"):
            read_trace(path)


class TestCountOfflineMisses:
    def test_the_adapter_with_the_farthest_next_use_is_evicted(self) -> None:
        names = ["a", "b", "c", "a", "b"]
        trace = [TracedRequest(0.0, "", adapter=name) for name in names]
        assert count_offline_misses(trace, 2) == 3
        assert count_offline_misses(trace, 3) == 3
        assert count_offline_misses(trace, 1) == 4
