"""Tests that each use report counts once, whatever messages are lost.

They guard against reports that nodes accept without owning the fleet while the
reporter sends them to the next node too. Passed on between five nodes without
an owner, 1,000 tokens became 44 million within a second, and the next owner
refused every customer.
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
    """A question in transit, which may arrive late or more than once."""

    sender: str
    node: str
    reports: tuple[UseReport, ...]


class Cluster:
    """Fronts that report to relays or the owner, and relays to the owner."""

    def __init__(self, fronts: int, relays: int) -> None:
        self.fronts = [f"f{n}" for n in range(fronts)]
        self.relays = [f"r{n}" for n in range(relays)]
        names = [*self.fronts, *self.relays]
        self.outgoing = {name: OutgoingReports() for name in names}
        self.received = {name: ReceivedReports() for name in self.relays}
        self.owner = ""
        self.now = 0.0
        self.sent = 0
        self.counted = 0
        self.late: list[Message] = []

    def use(self, front: str, spent: int) -> None:
        self.sent += spent
        self.outgoing[front].add(sent(spent, self.now))

    def ask(self, sender: str, node: str, outcome: str) -> None:
        """Sends the reports of one node to another.

        Args:
            sender: node that reports.
            node: node that it reports to.
            outcome: what happens to the question: `answered`, `lost`,
                `unanswered` or `late`.
        """
        reports = self.outgoing[sender].make_reports(node, self.now)
        message = Message(sender, node, reports)
        if outcome in ("lost", "late"):
            if outcome == "late":
                self.late.append(message)
            return
        taken = self.deliver(message)
        if outcome == "answered":
            self.outgoing[sender].handle_answer(node, reports, taken)

    def deliver(self, message: Message) -> tuple[int, ...]:
        node = message.node
        is_owner = node == self.owner

        def count(report: UseReport) -> None:
            if is_owner:
                self.counted += report.uses[_NAME].spent
            else:
                since = self.now - report.span
                self.outgoing[node].add(Sent(report.uses, {}, since))

        # A relay accepts reports only while it has news from an owner.
        accepts = is_owner or bool(self.owner)
        return self.received[node].handle_reports(
            message.sender,
            message.reports,
            self.now,
            accepts=accepts,
            count=count,
        )

    def set_owner(self, node: str) -> None:
        """Makes a node the owner; none if the name is empty."""
        self.owner = node
        if node:
            for unassigned in self.outgoing[node].take_unassigned():
                self.counted += unassigned.uses[_NAME].spent

    def pending(self) -> int:
        """Returns the sum of the amounts that no node has accepted."""
        total = 0
        for name, outgoing in self.outgoing.items():
            total += outgoing.total_spent(_NAME)
            for node in self.relays:
                total -= self._accepted_unconfirmed(name, outgoing, node)
        return total

    def _accepted_unconfirmed(
        self, sender: str, outgoing: OutgoingReports, node: str
    ) -> int:
        assigned = outgoing._assigned.get(node, {})
        reporter = self.received[node]._reporters.get(sender)
        decisions = reporter.decisions if reporter else {}
        return sum(
            pending.uses[_NAME].spent
            for number, pending in assigned.items()
            if decisions.get(number)
        )


class TestCountedOnce:
    @settings(max_examples=200, deadline=None)
    @given(st.integers(0, 10**9))
    def test_reports_count_once_over_lost_messages_and_owners(
        self, seed: int
    ) -> None:
        rng = random.Random(seed)
        nodes = Cluster(fronts=6, relays=4)
        for _ in range(150):
            # Below the age at which reports are dropped.
            nodes.now = min(nodes.now + rng.uniform(0.0, 0.05), 7.0)
            action = rng.random()
            if action < 0.35:
                nodes.use(rng.choice(nodes.fronts), rng.randrange(1, 1000))
            elif action < 0.9:
                sender = rng.choice([*nodes.fronts, *nodes.relays])
                if sender == nodes.owner:
                    continue
                node = rng.choice([r for r in nodes.relays if r != sender])
                outcomes = (
                    "answered",
                    "answered",
                    "lost",
                    "unanswered",
                    "late",
                )
                nodes.ask(sender, node, rng.choice(outcomes))
            elif action < 0.95 and nodes.late:
                late = nodes.late.pop(rng.randrange(len(nodes.late)))
                nodes.deliver(late)
            else:
                nodes.set_owner(rng.choice(["", *nodes.relays]))
            assert nodes.counted + nodes.pending() == nodes.sent

    def test_nodes_without_an_owner_accept_no_reports(self) -> None:
        nodes = Cluster(fronts=1, relays=5)
        nodes.use("f0", 1000)
        for turn in range(200):
            nodes.now = turn / 100
            for sender in [*nodes.fronts, *nodes.relays]:
                node = nodes.relays[turn % 5]
                if node != sender:
                    nodes.ask(sender, node, "answered")
        assert nodes.pending() == 1000
        nodes.set_owner("r3")
        nodes.ask("f0", "r3", "answered")
        assert (nodes.counted, nodes.pending()) == (1000, 0)


class TestAge:
    def test_old_reports_are_dropped(self) -> None:
        outgoing = OutgoingReports()
        outgoing.add(sent(100, since=0.0))
        outgoing.add(sent(30, since=5.0))
        outgoing.make_reports("owner", 1.0)
        outgoing.make_reports("owner", MAX_REPORT_AGE_SECONDS + 2.0)
        assert outgoing.total_spent(_NAME) == 30

    def test_report_carries_its_age(self) -> None:
        outgoing = OutgoingReports()
        outgoing.add(sent(100, since=2.0))
        (report,) = outgoing.make_reports("owner", 5.0)
        assert report.span == pytest.approx(3.0)

    def test_refused_report_gets_a_new_number(self) -> None:
        outgoing = OutgoingReports()
        outgoing.add(sent(100))
        first = outgoing.make_reports("a", 0.1)
        outgoing.handle_answer("a", first, ())
        (second,) = outgoing.make_reports("b", 0.2)
        assert second.number > first[0].number

    def test_silent_reporters_are_pruned(self) -> None:
        received = ReceivedReports()
        received.handle_reports("f", (), 0.0, accepts=True, count=print)
        received.prune_silent(100.0)
        assert not received._reporters
