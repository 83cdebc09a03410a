"""Random faults on the log's replicas and its changes of voters.

Runs the project's `Replica` and `decide_change` on a simulated clock, network
and disks, and looks for entries that are committed in two ways, for two leaders
in a term, and for logs that have ended when all machines are back.

    .venv/bin/python review/tried/random_voters.py FIRST_SEED COUNT [KIND,...]

KIND is kill, wipe, replace, cut, freeze or kill_all; without one, all of them.
About two machines are lost at once, at most: one counts until `CATCH_UP` after
it is back. A replaced machine itself stops counting at once.
"""

import heapq
import itertools
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "src"))

from ridgesill.core.commands import Node  # noqa: E402
from ridgesill.core.following import Beat  # noqa: E402
from ridgesill.core.log.memory import append_truncating  # noqa: E402
from ridgesill.core.log.messages import (  # noqa: E402
    HardState,
    Snapshot,
    StoredLog,
    Timing,
    Voters,
)
from ridgesill.core.log.replica import (  # noqa: E402
    LEADER,
    NoOp,
    Replica,
    make_initial_snapshot,
)
from ridgesill.core.voter_changes import (  # noqa: E402
    decide_change,
    node_name_of,
)

# As control nodes have them.
TIMING = Timing(heartbeat=0.15, election_min=1.2, election_max=1.9)
BEAT_SILENCE = 4.0
LEAD_TICK = 0.25
CATCH_UP = 4.0
VOTERS = 5
KINDS = ("kill", "wipe", "replace", "cut", "freeze", "kill_all")
FAULTS_UNTIL, HEALED_AT, END = 60.0, 62.0, 100.0


class Machine:
    def __init__(self, identity: str, snapshot: Snapshot) -> None:
        self.identity = identity
        self.name = node_name_of(identity)
        self.replica: Replica | None = None
        self.hard_state = HardState()
        self.entries = []
        self.snapshot = snapshot
        self.applied = snapshot.index
        self.is_gone = False
        self.lost_until = 0.0
        self.cut_until = self.frozen_until = 0.0
        self.waiting = []


class World:
    def __init__(self, seed: int, kinds: tuple[str, ...]) -> None:
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.now = 0.0
        self.problems: list[str] = []
        self.machines: dict[str, Machine] = {}
        self.committed = {}
        self.leaders: dict[int, str] = {}
        self.beats = {}
        self._queue = []
        self._count = itertools.count()
        self._numbers = itertools.count(VOTERS)
        self._loss = self.rng.choice((0.0, 0.0, 0.02))
        self._led_at = 0.0
        identities = tuple(f"m{n}.0" for n in range(VOTERS))
        founding = make_initial_snapshot(identities, b"", 1)
        for identity in identities:
            machine = Machine(identity, founding)
            self.machines[machine.name] = machine
            self.start(machine)

    def later(self, seconds: float, call, *arguments) -> None:
        entry = (self.now + seconds, next(self._count), call, arguments)
        heapq.heappush(self._queue, entry)

    def run(self) -> bool:
        """Returns whether the log has ended."""
        self.later(0.0, self.tick)
        for _ in range(300):
            self.later(self.rng.uniform(2.0, 70.0), self.put)
        at = 4.0
        while at < FAULTS_UNTIL:
            self.later(at, self.fault)
            at += self.rng.choice((0.3, 1.0, 2.5, 5.0, 7.0, 9.0))
        self.later(HEALED_AT, self.heal)
        while self._queue[0][0] <= END:
            self.now, _, call, arguments = heapq.heappop(self._queue)
            call(*arguments)
        leaders = [m.replica for m in self.up() if m.replica.role == LEADER]
        return all(r.log.term(r.commit_index) != r.term for r in leaders)

    # -- machines ------------------------------------------------------

    def up(self) -> list[Machine]:
        return [m for m in self.machines.values() if m.replica is not None]

    def start(self, machine: Machine) -> None:
        if machine.replica is not None or machine.is_gone:
            return
        stored = StoredLog(
            machine.hard_state, tuple(machine.entries), machine.snapshot
        )
        rng = random.Random(self.rng.random())
        machine.replica = Replica(
            machine.identity, stored, self.now, rng, TIMING
        )
        machine.applied = machine.snapshot.index
        machine.waiting = []
        if self.now:
            machine.lost_until = self.now + CATCH_UP

    def stop(self, machine: Machine, seconds: float) -> None:
        machine.replica = None
        machine.lost_until = float("inf")
        self.later(seconds, self.start, machine)

    def add_empty(self, name: str, seconds: float) -> None:
        identity = f"{name}.{next(self._numbers)}"
        machine = Machine(identity, Snapshot(0, 0, Voters(()), b""))
        self.machines[name] = machine
        self.stop(machine, seconds)

    # -- messages ------------------------------------------------------

    def flush(self, machine: Machine) -> None:
        """Stores, sends and applies what a replica has put out."""
        replica = machine.replica
        output = replica.take_output()
        if output.snapshot is not None:
            machine.hard_state = HardState(replica.term, replica.voted_for)
            self.keep(machine, output.snapshot)
        else:
            machine.hard_state = output.hard_state or machine.hard_state
            for entry in output.entries:
                append_truncating(machine.entries, entry)
        sync = self.rng.choice((0.001, 0.005, 0.005, 0.02))
        for sent in output.messages:
            way = self.rng.choice((0.0005, 0.001, 0.003, 0.05))
            is_lost = self.rng.random() < self._loss
            if self.now >= machine.cut_until and not is_lost:
                self.later(
                    sync + way, self.deliver, machine.identity, sent.to,
                    sent.message,
                )
        for entry in output.committed:
            self.commit(machine, entry)
        if replica.role == LEADER:
            self.check_leader(machine)

    def keep(self, machine: Machine, snapshot: Snapshot) -> None:
        log = machine.replica.log
        machine.snapshot = snapshot
        machine.entries = list(log.slice(snapshot.index, log.last_index))
        machine.applied = max(machine.applied, snapshot.index)

    def commit(self, machine: Machine, entry) -> None:
        known = self.committed.setdefault(entry.index, entry)
        if (known.term, known.command) != (entry.term, entry.command):
            self.problems.append(f"{entry.index} committed in two ways")
        machine.applied = entry.index

    def check_leader(self, machine: Machine) -> None:
        replica = machine.replica
        known = self.leaders.setdefault(replica.term, machine.identity)
        if known != machine.identity:
            self.problems.append(f"two leaders in term {replica.term}")
        if replica.commit_index - replica.log.snapshot.index > 60:
            self.keep(machine, replica.compact(b"", replica.commit_index))

    def deliver(self, sender: str, to: str, message) -> None:
        machine = self.machines.get(node_name_of(to))
        if machine is None or machine.replica is None:
            return
        if machine.identity != to or self.now < machine.cut_until:
            return
        if self.now < machine.frozen_until:
            machine.waiting.append((message, sender))
            return
        machine.replica.receive(message, sender, self.now)
        self.flush(machine)

    # -- what happens --------------------------------------------------

    def tick(self) -> None:
        for machine in self.up():
            if self.now < machine.frozen_until:
                continue
            waiting, machine.waiting = machine.waiting, []
            for message, sender in waiting:
                machine.replica.receive(message, sender, self.now)
            machine.replica.tick(self.now)
            self.flush(machine)
            if self.now >= machine.cut_until:
                self.send_beat(machine)
        for machine in self.up():
            is_late = self.now - self._led_at >= LEAD_TICK
            is_free = self.now >= max(machine.frozen_until, machine.cut_until)
            if machine.replica.role == LEADER and is_late and is_free:
                self.lead(machine)
        self.later(0.05, self.tick)

    def send_beat(self, machine: Machine) -> None:
        voters = machine.replica.voters.voters
        node = Node(machine.name, "x", machine.name, "a", machine.identity)
        is_learner = machine.identity not in voters
        beat = Beat(node, machine.applied, 0, False, (), is_learner)
        self.beats[machine.name] = (self.now, beat)

    def lead(self, machine: Machine) -> None:
        self._led_at = self.now
        heard = [
            beat
            for at, beat in self.beats.values()
            if self.now - at < BEAT_SILENCE
        ]
        change = decide_change(machine.replica, heard, self.now, VOTERS)
        if change is not None:
            machine.replica.propose(change, self.now)
            self.flush(machine)

    def put(self) -> None:
        for machine in self.up():
            is_free = self.now >= machine.frozen_until
            if machine.replica.role == LEADER and is_free:
                machine.replica.propose(NoOp(), self.now)
                self.flush(machine)

    def is_lost(self, machine: Machine) -> bool:
        if machine.is_gone:
            return False
        disturbed = max(machine.cut_until, machine.frozen_until)
        until = disturbed + CATCH_UP if disturbed else 0.0
        return self.now < max(machine.lost_until, until)

    def fault(self) -> None:
        lost = [m for m in self.machines.values() if self.is_lost(m)]
        free = [m for m in self.up() if m not in lost]
        kind = self.rng.choice(self.kinds)
        if kind == "kill_all" and not lost:
            for machine in self.up():
                self.stop(machine, self.rng.choice((0.5, 1.5, 1.6)))
        if kind == "kill_all" or len(lost) >= 2 or not free:
            return
        leaders = [m for m in free if m.replica.role == LEADER]
        machine = self.rng.choice(free)
        if leaders and self.rng.random() < 0.3:
            machine = leaders[0]
        if kind == "kill":
            self.stop(machine, self.rng.choice((0.3, 1.5, 3.5, 7.0)))
        elif kind == "wipe":
            machine.replica = None
            machine.is_gone = True
            self.add_empty(machine.name, self.rng.choice((0.3, 1.4, 3.0)))
        elif kind == "replace":
            machine.replica = None
            machine.is_gone = True
            name = f"m{next(self._numbers)}"
            self.add_empty(name, self.rng.choice((1.0, 2.0)))
        elif kind == "cut":
            machine.cut_until = self.now + self.rng.uniform(1.0, 7.5)
        elif kind == "freeze":
            machine.frozen_until = self.now + self.rng.uniform(1.0, 5.0)

    def heal(self) -> None:
        for machine in list(self.machines.values()):
            machine.cut_until = machine.frozen_until = 0.0
            self.start(machine)


def main() -> int:
    first, count = int(sys.argv[1]), int(sys.argv[2])
    kinds = tuple(sys.argv[3].split(",")) if len(sys.argv) > 3 else KINDS
    ended = []
    unsafe = 0
    for seed in range(first, first + count):
        world = World(seed, kinds)
        if world.run():
            ended.append(seed)
        if world.problems:
            unsafe += 1
            print(f"seed {seed}: {world.problems[0]}")
    print(
        f"{count} schedules of {', '.join(kinds)}: {unsafe} unsafe, "
        f"{len(ended)} with a log that has ended, such as {ended[:5]}"
    )
    return 1 if unsafe else 0


if __name__ == "__main__":
    sys.exit(main())
