"""Tests of replaying a trace against a running deployment."""

from pathlib import Path

import pytest

from ridgesill.standin.traces import TracedRequest, write_trace
from testing.processes import Deployment

pytestmark = pytest.mark.process


class TestReplay:
    def test_stated_outcomes_are_checked(
        self, serving: Deployment, tmp_path: Path
    ) -> None:
        trace = [
            TracedRequest(0.0, "one", adapter="a1", tokens=4),
            TracedRequest(0.1, "two", adapter="a3", tokens=4),
            TracedRequest(0.1, "three", service="tickets", repeatable=False),
            TracedRequest(0.2, "four", adapter="a23", outcome="refused"),
        ]
        write_trace(trace, tmp_path / "trace")
        nodes = ",".join(n.callers for n in serving.nodes.values())
        path = str(tmp_path / "trace")
        answer = serving.run("replay", path, f"--nodes={nodes}")
        assert "requests=4 completed=3 refused=1 cut=0 lost=0" in answer
        assert "unexpected=0" in answer

    def test_an_unexpected_outcome_fails_the_replay(
        self, serving: Deployment, tmp_path: Path
    ) -> None:
        trace = [TracedRequest(0.0, "one", adapter="a23")]
        write_trace(trace, tmp_path / "trace")
        node = serving.nodes["n1"].callers
        path = str(tmp_path / "trace")
        answer = serving.run("replay", path, f"--nodes={node}", check=False)
        assert "one: refused, not completed" in answer
