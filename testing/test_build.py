"""Tests of the program that is built as a single file."""

import os
import sys
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from bench.build import build
from testing.clients import chat
from testing.conftest import configure, make_small_deployment
from testing.processes import Deployment, deployed, ridgesill

pytestmark = [pytest.mark.process, pytest.mark.timeout(300)]


@pytest.fixture(scope="module")
def program(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return build(tmp_path_factory.mktemp("build") / "ridgesill")


class _ChildWatch(threading.Thread):
    """Collects the child processes of all nodes until stopped."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(daemon=True)
        self.children: set[str] = set()
        self.poll_count = 0
        self.stopped = threading.Event()
        self._deployment = deployment

    def run(self) -> None:
        while not self.stopped.is_set():
            for node in list(self._deployment.nodes.values()):
                if node.running and node.running.is_running:
                    self._collect_children(node.running.pid)
            self.poll_count += 1

    def _collect_children(self, pid: int) -> None:
        for task in Path(f"/proc/{pid}/task").glob("*/children"):
            try:
                self.children.update(task.read_text().split())
            except OSError:
                continue


class TestSingleFile:
    @pytest.fixture
    def deployment(
        self, program: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> Iterator[Deployment]:
        monkeypatch.setenv("SHIV_ROOT", str(tmp_path / "unpacked"))
        monkeypatch.setenv("HOME", str(tmp_path / "home"))
        monkeypatch.delenv("PYTHONPATH", raising=False)
        # The folder of the real interpreter comes first: a version manager's
        # wrapper is a shell script, which starts child processes itself.
        interpreter = Path(sys.executable).resolve().parent
        monkeypatch.setenv("PATH", f"{interpreter}:{os.environ['PATH']}")
        monkeypatch.chdir(tmp_path)
        monkeypatch.setattr(
            "testing.processes.ridgesill",
            lambda *arguments: [str(program), *arguments],
        )
        yield make_small_deployment(tmp_path)

    def test_it_serves_without_child_processes(
        self, deployment: Deployment, tmp_path: Path
    ) -> None:
        watch = _ChildWatch(deployment)
        watch.start()
        with deployed(deployment):
            configure(deployment)
            assert chat(deployment.nodes["n1"], "a1").status == 200
            watch.stopped.set()
            watch.join()
        assert watch.poll_count > 10
        assert not watch.children
        assert (tmp_path / "unpacked").is_dir()
        assert not (tmp_path / "home").exists()


class TestCommandLine:
    def test_tests_run_the_source_tree_by_default(self) -> None:
        assert ridgesill("check", "x")[1:3] == ["-m", "ridgesill.app.cli"]
        assert os.access(ridgesill()[0], os.X_OK)
