"""Random schedules of faults over a cluster of replicas."""

import itertools

from ridgesill.core.log.messages import Voters
from ridgesill.core.log.replica import ChangeVoters
from testing.core.log.cluster import Cluster, Write

_THREE = ("a.0", "b.0", "c.0")
_FIVE = (*_THREE, "d.0", "e.0")


class Schedule:
    """One random schedule; raises `Violation` if an invariant breaks."""

    def __init__(self, seed: int, steps: int = 30) -> None:
        names = _FIVE if seed % 3 == 0 else _THREE
        # A third of the schedules are hasty: messages overtake each other
        # and replicas restart between a vote and the next.
        self._hasty = seed % 3 == 1
        self.cluster = Cluster(names, seed)
        self._rng = self.cluster.rng
        self._steps = steps
        self._values = itertools.count()
        self._generation = itertools.count(1)
        self._replacing = ""
        self._successor = ""
        self._gone: set[str] = set()

    def run(self) -> Cluster:
        """Runs it, heals everything, and checks what must have survived."""
        cluster = self.cluster
        cluster.run(3.0)
        for _ in range(self._steps):
            self._act()
            cluster.run(self._pause())
            cluster.check_logs()
        self._heal()
        return cluster

    def _act(self) -> None:
        actions = [
            (self._write, 8),
            (self._crash, 2),
            (self._restart, 3),
            (self._cut, 2),
            (self.cluster.heal, 2),
            (self._bounce, 6 if self._hasty else 1),
            (self._compact, 1),
            (self._replace, 1),
        ]
        weights = [weight for _, weight in actions]
        chosen = self._rng.choices([a for a, _ in actions], weights)[0]
        chosen()

    def _pause(self) -> float:
        if self._hasty and self._rng.random() < 0.7:
            return self._rng.uniform(0.002, 0.05)
        return self._rng.uniform(0.05, 1.0)

    def _bounce(self) -> None:
        """Restarts a replica at once: what it had not synced is gone."""
        name = self._rng.choice(sorted(self._alive_names()))
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
            if not member.up and name in self._alive_names():
                self.cluster.restart(name)
                return

    def _alive_names(self) -> set[str]:
        lost = self._gone | {self._replacing}
        return set(self.cluster.members) - lost

    def _cut(self) -> None:
        name = self._rng.choice(list(self.cluster.members))
        direction = self._rng.randrange(3)
        self.cluster.isolate(
            name, inbound=direction != 1, outbound=direction != 0
        )

    def _compact(self) -> None:
        self.cluster.compact(self._rng.choice(list(self.cluster.members)))

    def _replace(self) -> None:
        """Takes a disk away, and later makes a new identity a voter."""
        leader = self.cluster.leader()
        if self._replacing or not leader:
            self._go_on_replacing()
            return
        victims = [n for n in self._voters() if n != leader]
        up = [n for n in self._voters() if self.cluster.members[n].up]
        if not victims or len(up) < len(self._voters()):
            return
        victim = self._rng.choice(victims)
        self.cluster.wipe(victim)
        self._replacing = victim
        name = victim.partition(".")[0]
        self._successor = f"{name}.{next(self._generation)}"
        self.cluster.add(self._successor)

    def _go_on_replacing(self) -> None:
        leader = self.cluster.leader()
        if not leader or not self._replacing:
            return
        replica = self.cluster.members[leader].replica
        voters, learners = replica.voters.voters, replica.voters.learners
        new = self._successor
        if new in voters:
            self._gone.add(self._replacing)
            self._replacing = ""
            return
        if new not in learners:
            change = Voters(voters, (*learners, new))
        elif self._replacing in voters:
            if not self._caught_up(leader, new):
                return
            kept = tuple(v for v in voters if v != self._replacing)
            change = Voters(kept, learners)
        else:
            change = Voters((*voters, new), ())
        self.cluster.propose(leader, ChangeVoters(change))

    def _caught_up(self, leader: str, name: str) -> bool:
        replica = self.cluster.members[leader].replica
        progress = replica.progress.get(name)
        return bool(progress) and progress.match >= replica.commit_index

    def _heal(self) -> None:
        cluster = self.cluster
        cluster.heal()
        for name in sorted(self._alive_names()):
            if not cluster.members[name].up:
                cluster.restart(name)
        for _ in range(20):
            cluster.run(1.0)
            self._go_on_replacing()
        leader = cluster.leader()
        assert leader, "no leader after all faults ended"
        for name in cluster.members[leader].replica.voters.voters:
            if cluster.members[name].up:
                cluster.check_kept(name)
