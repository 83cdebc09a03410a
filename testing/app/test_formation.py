"""Tests of how the first voters come together."""

import random
from pathlib import Path

from ridgesill.adapters.file_log import FileLog
from ridgesill.app.formation import Formation
from ridgesill.core.commands import Node
from ridgesill.core.log.replica import LEADER, Replica

_NAMES = ("10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70", "10.0.0.4:70")
_SEEDS = _NAMES[:3]


def form_on(folder: Path, name: str, *, first: bool = True) -> Formation:
    """Returns the formation of a node whose disk is below a folder."""
    storage = FileLog(folder / name.replace(":", "_"))
    return Formation(storage, name, _SEEDS, 3, is_first_start=first)


def as_node(name: str, identity: str) -> Node:
    """Returns a node with a disk."""
    return Node(name, "1", name, "a", identity)


def open_replica(folder: Path, name: str) -> Replica:
    """Returns the replica on a node's disk."""
    storage = FileLog(folder / name.replace(":", "_"))
    rng = random.Random(name)
    return Replica(storage.identity, storage.load(), 0.0, rng)


def run(
    replicas: dict[str, Replica], seconds: float, start: float = 0.0
) -> None:
    """Carries messages between replicas without losing any."""
    now = start
    while now < start + seconds:
        now += 0.05
        for replica in replicas.values():
            replica.tick(now)
        busy = True
        while busy:
            busy = False
            for sender, replica in replicas.items():
                for send in replica.take_output().messages:
                    busy = True
                    if send.to in replicas:
                        replicas[send.to].receive(send.message, sender, now)


async def form_three(folder: Path) -> list[str]:
    """Forms three voters; returns their identities, the founder's first."""
    formations = [form_on(folder, name) for name in _SEEDS]
    nodes = [
        as_node(name, formation.identity)
        for name, formation in zip(_SEEDS, formations, strict=True)
    ]
    for node in nodes[1:]:
        formations[0].record_node(node)
    for formation, node in zip(formations, nodes, strict=True):
        await formation.form(node)
    return [formation.identity for formation in formations]


class TestFormation:
    async def test_every_voter_learns_who_votes(self, tmp_path: Path) -> None:
        identities = await form_three(tmp_path)
        replicas = {
            identity: open_replica(tmp_path, name)
            for identity, name in zip(identities, _SEEDS, strict=True)
        }
        run(replicas, 10.0)
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
        run(replicas, 10.0)
        del replicas[identities[0]]
        run(replicas, 60.0, start=10.0)
        assert LEADER in {replica.role for replica in replicas.values()}

    async def test_a_founder_that_restarts_does_not_found_again(
        self, tmp_path: Path
    ) -> None:
        identities = await form_three(tmp_path)
        again = form_on(tmp_path, _SEEDS[0])
        await again.form(as_node(_SEEDS[0], again.identity))
        assert again.identity == identities[0]

    async def test_an_empty_disk_later_gets_a_fresh_identity(
        self, tmp_path: Path
    ) -> None:
        identities = await form_three(tmp_path)
        later = form_on(tmp_path / "new", _SEEDS[0], first=False)
        await later.form(as_node(_SEEDS[0], later.identity))
        assert later.identity not in identities


class FullDisk(FileLog):
    """Refuses the first identities that it is given."""

    refusals = 2

    def initialize_with_new_identity(self, name: str) -> None:
        if self.refusals:
            self.refusals -= 1
            raise OSError(28, "No space left on device")
        super().initialize_with_new_identity(name)


class TestFullDisk:
    def test_a_start_on_an_empty_disk_that_is_full_ends_nothing(
        self, tmp_path: Path
    ) -> None:
        # Soak seed 227: a wiped node that started on a full disk ended.
        disk = FullDisk(tmp_path)
        formation = Formation(disk, "n1:1", ["n0:1"], 3, is_first_start=False)
        assert formation.identity.startswith("n1:1.")
        assert disk.refusals == 0
