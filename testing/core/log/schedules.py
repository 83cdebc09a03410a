"""Random schedules of faults over a cluster of replicas."""

import itertools

from ridgesill.core.log.messages import Voters
from ridgesill.core.log.replica import ChangeVoters
from testing.core.log.cluster import Cluster, Write

_THREE = ("a.0", "b.0", "c.0")
_FIVE = (*_THREE, "d.0", "e.0")


class Schedule:
    """A random schedule of writes and faults, given by a seed.

    Raises `Violation` if an invariant does not hold.
    """

    def __init__(self, seed: int, steps: int = 30) -> None:
        names = _FIVE if seed % 3 == 0 else _THREE
        # In a third of the schedules, steps follow each other so closely that
        # messages overtake each other and replicas restart between votes.
        self._has_fast_restarts = seed % 3 == 1
        self.cluster = Cluster(names, seed)
        self._rng = self.cluster.rng
        self._steps = steps
        self._values = itertools.count()
        self._generation = itertools.count(1)
        self._lost_identity = ""
        self._successor = ""
        self._replaced: set[str] = set()

    def run(self) -> Cluster:
        """Runs the schedule, ends all faults, and checks for lost writes."""
        cluster = self.cluster
        cluster.run(3.0)
        for _ in range(self._steps):
            self._perform_random_action()
            cluster.run(self._draw_pause())
            cluster.check_logs()
        self._heal_and_check()
        return cluster

    def _perform_random_action(self) -> None:
        actions = [
            (self._write, 8),
            (self._crash, 2),
            (self._restart, 3),
            (self._isolate_one, 2),
            (self.cluster.heal, 2),
            (self._restart_at_once, 6 if self._has_fast_restarts else 1),
            (self._compact, 1),
            (self._replace_disk, 1),
        ]
        weights = [weight for _, weight in actions]
        chosen = self._rng.choices([a for a, _ in actions], weights)[0]
        chosen()

    def _draw_pause(self) -> float:
        if self._has_fast_restarts and self._rng.random() < 0.7:
            return self._rng.uniform(0.002, 0.05)
        return self._rng.uniform(0.05, 1.0)

    def _restart_at_once(self) -> None:
        """Crashes and restarts a replica, which loses its unsynced state."""
        name = self._rng.choice(sorted(self._restartable_names()))
        if self.cluster.members[name].up:
            self.cluster.crash(name)
            self.cluster.restart(name)

    def _write(self) -> None:
        for name in list(self.cluster.members):
            command = Write(f"v{next(self._values)}")
            self.cluster.propose(name, command)

    def _voters(self) -> list[str]:
        leader = self.cluster.leader()
        if not leader:
            return []
        voters = self.cluster.members[leader].replica.voters.voters
        return list(voters)

    def _crash(self) -> None:
        names = [n for n, m in self.cluster.members.items() if m.up]
        if names:
            self.cluster.crash(self._rng.choice(names))

    def _restart(self) -> None:
        for name, member in self.cluster.members.items():
            if not member.up and name in self._restartable_names():
                self.cluster.restart(name)
                return

    def _restartable_names(self) -> set[str]:
        lost = self._replaced | {self._lost_identity}
        return set(self.cluster.members) - lost

    def _isolate_one(self) -> None:
        name = self._rng.choice(list(self.cluster.members))
        direction = self._rng.randrange(3)
        self.cluster.isolate(
            name, inbound=direction != 1, outbound=direction != 0
        )

    def _compact(self) -> None:
        self.cluster.compact(self._rng.choice(list(self.cluster.members)))

    def _replace_disk(self) -> None:
        """Wipes a voter's disk, and replaces it by a new identity in steps."""
        leader = self.cluster.leader()
        if self._lost_identity or not leader:
            self._continue_replacement()
            return
        victims = [n for n in self._voters() if n != leader]
        up = [n for n in self._voters() if self.cluster.members[n].up]
        if not victims or len(up) < len(self._voters()):
            return
        victim = self._rng.choice(victims)
        self.cluster.wipe(victim)
        self._lost_identity = victim
        name = victim.partition(".")[0]
        self._successor = f"{name}.{next(self._generation)}"
        self.cluster.add(self._successor)

    def _continue_replacement(self) -> None:
        leader = self.cluster.leader()
        if not leader or not self._lost_identity:
            return
        replica = self.cluster.members[leader].replica
        voters, learners = replica.voters.voters, replica.voters.learners
        new = self._successor
        if new in voters:
            self._replaced.add(self._lost_identity)
            self._lost_identity = ""
            return
        if new not in learners:
            change = Voters(voters, (*learners, new))
        elif self._lost_identity in voters:
            if not self._caught_up(leader, new):
                return
            kept = tuple(v for v in voters if v != self._lost_identity)
            change = Voters(kept, learners)
        else:
            change = Voters((*voters, new), ())
        self.cluster.propose(leader, ChangeVoters(change))

    def _caught_up(self, leader: str, name: str) -> bool:
        replica = self.cluster.members[leader].replica
        progress = replica.progress.get(name)
        return bool(progress) and progress.match >= replica.commit_index

    def _heal_and_check(self) -> None:
        cluster = self.cluster
        cluster.heal()
        for name in sorted(self._restartable_names()):
            if not cluster.members[name].up:
                cluster.restart(name)
        for _ in range(20):
            cluster.run(1.0)
            self._continue_replacement()
        leader = cluster.leader()
        assert leader, "no leader after all faults ended"
        for name in cluster.members[leader].replica.voters.voters:
            if cluster.members[name].up:
                cluster.check_applied_all(name)
