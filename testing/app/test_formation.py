"""Tests of bootstrapping the first set of voters."""

import random
from pathlib import Path

from ridgesill.adapters.file_log import FileLog
from ridgesill.app.formation import Formation
from ridgesill.core.commands import Node
from ridgesill.core.log.replica import LEADER, Replica

_NAMES = ("10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70", "10.0.0.4:70")
_SEEDS = _NAMES[:3]


def make_formation(
    folder: Path, name: str, *, is_first_start: bool = True
) -> Formation:
    """Returns the formation of a node that stores its log in a folder."""
    storage = FileLog(folder / name.replace(":", "_"))
    return Formation(storage, name, _SEEDS, 3, is_first_start=is_first_start)


def make_node(name: str, identity: str) -> Node:
    """Returns a node with a disk."""
    return Node(name, "1", name, "a", identity)


def open_replica(folder: Path, name: str) -> Replica:
    """Returns the replica that a node has stored in a folder."""
    storage = FileLog(folder / name.replace(":", "_"))
    rng = random.Random(name)
    return Replica(storage.identity, storage.load(), 0.0, rng)


def run_replicas(
    replicas: dict[str, Replica], seconds: float, start: float = 0.0
) -> None:
    """Runs replicas for some seconds and delivers all their messages."""
    now = start
    while now < start + seconds:
        now += 0.05
        for replica in replicas.values():
            replica.tick(now)
        has_messages = True
        while has_messages:
            has_messages = False
            for sender, replica in replicas.items():
                for send in replica.take_output().messages:
                    has_messages = True
                    if send.to in replicas:
                        replicas[send.to].receive(send.message, sender, now)


async def form_three(folder: Path) -> list[str]:
    """Bootstraps three voters.

    Returns:
        Their identities, the founder's first.
    """
    formations = [make_formation(folder, name) for name in _SEEDS]
    nodes = [
        make_node(name, formation.identity)
        for name, formation in zip(_SEEDS, formations, strict=True)
    ]
    for node in nodes[1:]:
        formations[0].record_node(node)
    for formation, node in zip(formations, nodes, strict=True):
        await formation.form(node)
    return [formation.identity for formation in formations]


class TestFormation:
    async def test_every_voter_learns_the_set_of_voters(
        self, tmp_path: Path
    ) -> None:
        identities = await form_three(tmp_path)
        replicas = {
            identity: open_replica(tmp_path, name)
            for identity, name in zip(identities, _SEEDS, strict=True)
        }
        run_replicas(replicas, 10.0)
        for replica in replicas.values():
            assert set(replica.voters.voters) == set(identities)

    async def test_the_others_elect_a_leader_without_the_founder(
        self, tmp_path: Path
    ) -> None:
        identities = await form_three(tmp_path)
        replicas = {
            identity: open_replica(tmp_path, name)
            for identity, name in zip(identities, _SEEDS, strict=True)
        }
        run_replicas(replicas, 10.0)
        del replicas[identities[0]]
        run_replicas(replicas, 60.0, start=10.0)
        assert LEADER in {replica.role for replica in replicas.values()}

    async def test_a_restarted_founder_keeps_its_identity(
        self, tmp_path: Path
    ) -> None:
        identities = await form_three(tmp_path)
        restarted = make_formation(tmp_path, _SEEDS[0])
        await restarted.form(make_node(_SEEDS[0], restarted.identity))
        assert restarted.identity == identities[0]

    async def test_an_empty_disk_gets_a_new_identity_later(
        self, tmp_path: Path
    ) -> None:
        identities = await form_three(tmp_path)
        joined = make_formation(
            tmp_path / "new", _SEEDS[0], is_first_start=False
        )
        await joined.form(make_node(_SEEDS[0], joined.identity))
        assert joined.identity not in identities


class FullDisk(FileLog):
    """Fails the first two attempts to store an identity."""

    refusals = 2

    def initialize_with_new_identity(self, name: str) -> None:
        if self.refusals:
            self.refusals -= 1
            raise OSError(28, "No space left on device")
        super().initialize_with_new_identity(name)


class TestFullDisk:
    def test_joining_on_a_full_disk_is_retried(self, tmp_path: Path) -> None:
        # Guards against a node whose process ends when it starts without an
        # identity on a full disk; seen in the soak test with seed 227.
        disk = FullDisk(tmp_path)
        formation = Formation(disk, "n1:1", ["n0:1"], 3, is_first_start=False)
        assert formation.identity.startswith("n1:1.")
        assert disk.refusals == 0
