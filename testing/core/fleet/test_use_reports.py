"""Each report of what was sent is counted once, whatever is lost on its way.

Nodes that didn't own the fleet kept what they were told, and who had told it
told the next node too. Passed on between five nodes without an owner, 1,000
tokens became 44 million within a second, and the next owner refused everybody.
"""

import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ridgesill.core.fleet.use_reports import (
    MAX_REPORT_AGE_SECONDS,
    OutgoingReports,
    ReceivedReports,
    Sent,
    UseReport,
)
from ridgesill.core.serving.rates import RateUse

_NAME = "c"


def sent(spent: int, since: float = 0.0) -> Sent:
    return Sent({_NAME: RateUse(spent, spent)}, {}, since)


@attrs.define
class Message:
    """A question on its way, which may arrive late and more than once."""

    sender: str
    node: str
    reports: tuple[UseReport, ...]


class Nodes:
    """Fronts that tell relays or the owner, and relays that tell the owner."""

    def __init__(self, fronts: int, relays: int) -> None:
        self.fronts = [f"f{n}" for n in range(fronts)]
        self.relays = [f"r{n}" for n in range(relays)]
        names = [*self.fronts, *self.relays]
        self.telling = {name: OutgoingReports() for name in names}
        self.taking = {name: ReceivedReports() for name in self.relays}
        self.owner = ""
        self.now = 0.0
        self.sent = 0
        self.counted = 0
        self.late: list[Message] = []

    def use(self, front: str, spent: int) -> None:
        self.sent += spent
        self.telling[front].add(sent(spent, self.now))

    def ask(self, sender: str, node: str, fate: str) -> None:
        """Has a node tell another what it keeps.

        Args:
            sender: who tells.
            node: whom.
            fate: of the question: `answered`, `lost`, `unanswered` or `late`.
        """
        reports = self.telling[sender].make_reports(node, self.now)
        message = Message(sender, node, reports)
        if fate in ("lost", "late"):
            if fate == "late":
                self.late.append(message)
            return
        taken = self.arrive(message)
        if fate == "answered":
            self.telling[sender].handle_answer(node, reports, taken)

    def arrive(self, message: Message) -> tuple[int, ...]:
        node = message.node
        is_owner = node == self.owner

        def count(report: UseReport) -> None:
            if is_owner:
                self.counted += report.uses[_NAME].spent
            else:
                since = self.now - report.span
                self.telling[node].add(Sent(report.uses, {}, since))

        # A relay takes reports only while it hears an owner.
        accepts = is_owner or bool(self.owner)
        return self.taking[node].handle_reports(
            message.sender,
            message.reports,
            self.now,
            accepts=accepts,
            count=count,
        )

    def own(self, node: str) -> None:
        """Makes a node the owner, or nobody."""
        self.owner = node
        if node:
            for untold in self.telling[node].take_unassigned():
                self.counted += untold.uses[_NAME].spent

    def kept(self) -> int:
        """Returns what is kept and no node has taken."""
        total = 0
        for name, telling in self.telling.items():
            total += telling.total_spent(_NAME)
            for node in self.relays:
                total -= self._taken_unheard(name, telling, node)
        return total

    def _taken_unheard(
        self, sender: str, telling: OutgoingReports, node: str
    ) -> int:
        told = telling._told.get(node, {})
        reporter = self.taking[node]._reporters.get(sender)
        decisions = reporter.decisions if reporter else {}
        return sum(
            kept.uses[_NAME].spent
            for number, kept in told.items()
            if decisions.get(number)
        )


class TestOnce:
    @settings(max_examples=200, deadline=None)
    @given(st.integers(0, 10**9))
    def test_over_lost_messages_and_owners(self, seed: int) -> None:
        rng = random.Random(seed)
        nodes = Nodes(fronts=6, relays=4)
        for _ in range(150):
            # Within the time for which reports are kept.
            nodes.now = min(nodes.now + rng.uniform(0.0, 0.05), 7.0)
            deed = rng.random()
            if deed < 0.35:
                nodes.use(rng.choice(nodes.fronts), rng.randrange(1, 1000))
            elif deed < 0.9:
                sender = rng.choice([*nodes.fronts, *nodes.relays])
                if sender == nodes.owner:
                    continue
                node = rng.choice([r for r in nodes.relays if r != sender])
                fates = ("answered", "answered", "lost", "unanswered", "late")
                nodes.ask(sender, node, rng.choice(fates))
            elif deed < 0.95 and nodes.late:
                late = nodes.late.pop(rng.randrange(len(nodes.late)))
                nodes.arrive(late)
            else:
                nodes.own(rng.choice(["", *nodes.relays]))
            assert nodes.counted + nodes.kept() == nodes.sent

    def test_nodes_without_an_owner_keep_nothing_of_each_other(self) -> None:
        nodes = Nodes(fronts=1, relays=5)
        nodes.use("f0", 1000)
        for turn in range(200):
            nodes.now = turn / 100
            for sender in [*nodes.fronts, *nodes.relays]:
                node = nodes.relays[turn % 5]
                if node != sender:
                    nodes.ask(sender, node, "answered")
        assert nodes.kept() == 1000
        nodes.own("r3")
        nodes.ask("f0", "r3", "answered")
        assert (nodes.counted, nodes.kept()) == (1000, 0)


class TestAge:
    def test_what_is_older_than_the_span_that_is_judged_is_dropped(
        self,
    ) -> None:
        telling = OutgoingReports()
        telling.add(sent(100, since=0.0))
        telling.add(sent(30, since=5.0))
        telling.make_reports("owner", 1.0)
        telling.make_reports("owner", MAX_REPORT_AGE_SECONDS + 2.0)
        assert telling.total_spent(_NAME) == 30

    def test_a_report_tells_how_old_it_is(self) -> None:
        telling = OutgoingReports()
        telling.add(sent(100, since=2.0))
        (report,) = telling.make_reports("owner", 5.0)
        assert report.span == pytest.approx(3.0)

    def test_refused_ones_go_on_under_another_number(self) -> None:
        telling = OutgoingReports()
        telling.add(sent(100))
        first = telling.make_reports("a", 0.1)
        telling.handle_answer("a", first, ())
        (second,) = telling.make_reports("b", 0.2)
        assert second.number > first[0].number

    def test_reporters_that_are_gone_are_forgotten(self) -> None:
        taking = ReceivedReports()
        taking.handle_reports("f", (), 0.0, accepts=True, count=print)
        taking.prune_silent(100.0)
        assert not taking._reporters
