"""Steps of failures.feature, on real processes."""

import signal
import threading
import time
from collections.abc import Iterator
from typing import Any

import attrs
import msgspec
import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from bench.demo import make_configuration
from testing.clients import CallerAnswer, chat, open_stream, request
from testing.conftest import SHORT_LEASES
from testing.processes import (
    Deployment,
    NodeHandle,
    StandInHandle,
    wait_until,
)

pytestmark = [pytest.mark.process, pytest.mark.timeout(180)]

scenarios("failures.feature")

_TICKETS = "/services/tickets/new"


@attrs.define
class Story:
    """What a scenario has done so far."""

    deployment: Deployment
    victim: str = ""
    epoch: int = 0
    frozen: str = ""
    frozen_at: float = 0.0
    answers: list[Any] = attrs.Factory(list)
    texts: list[str] = attrs.Factory(list)
    chunks: Iterator[bytes] | None = None
    runner: StandInHandle | None = None
    unfresh: list[Any] = attrs.Factory(list)

    def node(self, name: str) -> NodeHandle:
        """Returns a node by name."""
        return self.deployment.nodes[name]

    def running(self) -> list[NodeHandle]:
        """Returns the nodes that run and are not frozen."""
        return [
            node
            for node in self.deployment.nodes.values()
            if node.running and node.running.is_running
            if node.name != self.frozen
        ]

    def follower(self) -> NodeHandle:
        """Returns a running voter that does not lead."""
        leader = wait_until(self.deployment.leader, "a leader")
        return next(n for n in self.running() if n.name != leader.name)


def version_text(version: int, note: str = "") -> str:
    """Returns the demo's configuration under another version."""
    text = make_configuration()
    text = text.replace("version = 1", f"version = {version}", 1)
    return text + (f"\n[team {note}]\n" if note else "")


@given("a small deployment", target_fixture="story")
def given_small(small: Deployment) -> Story:
    return Story(small)


# -- configuration ----------------------------------------------------


@when(parsers.parse("version {version:d} is applied through {name}"))
@then(parsers.parse("version {version:d} can be applied through {name}"))
def apply_version(story: Story, version: int, name: str) -> None:
    def accepted() -> bool:
        node = story.running()[0] if " " in name else story.node(name)
        answer = story.deployment.apply(
            node, version_text(version), f"op{version}"
        )
        return "accepted" in answer

    wait_until(accepted, f"version {version} is accepted", 20)


@then(
    parsers.parse(
        "version {version:d} is in force on every running node "
        "within {seconds:d} s"
    )
)
def in_force(story: Story, version: int, seconds: int) -> None:
    for node in story.running():

        def has_it(node: NodeHandle = node) -> bool:
            shown = story.deployment.show(node)
            return bool(shown) and shown["version"] == version

        wait_until(has_it, f"{node.name} has version {version}", seconds)


@when("two operators apply version 2 at once through n1 and n3")
def race(story: Story) -> None:
    def operate(name: str) -> None:
        text = version_text(2, f"by-{name}")
        story.texts.append(text)
        answer = story.deployment.apply(story.node(name), text, f"op-{name}")
        story.answers.append((text, answer))

    threads = [
        threading.Thread(target=operate, args=(name,)) for name in ("n1", "n3")
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("exactly one was accepted and the other was told so")
def one_won(story: Story) -> None:
    accepted = [t for t, a in story.answers if "is accepted" in a]
    refused = [a for _, a in story.answers if "is accepted" not in a]
    assert len(accepted) == 1
    assert "version 2 is in force" in refused[0]
    story.texts = accepted


@when("the accepted file is sent again through n2")
def resend(story: Story) -> None:
    answer = story.deployment.apply(story.node("n2"), story.texts[0], "again")
    story.answers = [answer]


@then("it is accepted again")
def accepted_again(story: Story) -> None:
    assert "version 2 is accepted" in story.answers[0]


# -- kills, freezes, disks --------------------------------------------


@when("the leader is killed")
def kill_leader(story: Story) -> None:
    leader = wait_until(story.deployment.leader, "a leader")
    leader.running.kill()


@when(parsers.parse("{first} and {second} are killed"))
def kill_two(story: Story, first: str, second: str) -> None:
    for name in (first, second):
        story.node(name).running.signal(signal.SIGKILL)
    for name in (first, second):
        story.node(name).running.kill()


@when(parsers.parse("{first} and {second} are started"))
def start_two(story: Story, first: str, second: str) -> None:
    for name in (first, second):
        story.deployment.start_node(name)


@when(parsers.re(r"(?P<name>n\d) is started"))
def start_one(story: Story, name: str) -> None:
    story.deployment.start_node(name)


@when("a follower is killed and its disk lost")
def lose_disk(story: Story) -> None:
    victim = story.follower()
    victim.running.kill()
    for path in victim.data_folder.iterdir():
        path.unlink()
    story.victim = victim.name


@when("it is started")
def start_victim(story: Story) -> None:
    story.deployment.start_node(story.victim)


@then(parsers.parse("it votes under a new identity within {seconds:d} s"))
def votes_anew(story: Story, seconds: int) -> None:
    def votes() -> bool:
        leader = story.deployment.leader()
        if leader is None:
            return False
        voters = story.deployment.status(leader)["voters"]
        old = f"{story.victim}.0"
        names = [voter.partition(".")[0] for voter in voters]
        return len(voters) == 3 and story.victim in names and old not in voters

    wait_until(votes, "the new identity votes", seconds)


@when("another follower is killed")
def kill_follower(story: Story) -> None:
    leader = wait_until(story.deployment.leader, "a leader")
    other = next(
        node
        for node in story.running()
        if node.name not in (leader.name, story.victim)
    )
    other.running.kill()


@when("the leader is frozen")
def freeze_leader(story: Story) -> None:
    leader = wait_until(story.deployment.leader, "a leader")
    leader.running.signal(signal.SIGSTOP)
    story.frozen = leader.name
    story.frozen_at = time.monotonic()


@when("the frozen node goes on")
def thaw(story: Story) -> None:
    # Until its lease is over it may rely on what it knew. Others elect a leader
    # and accept a version sooner than that on most runs, so that it was woken
    # within the lease, and once showed the older version as fresh, rightly.
    lease_ends_at = story.frozen_at + SHORT_LEASES["lease"]["lease_seconds"]
    time.sleep(max(lease_ends_at - time.monotonic(), 0.0))
    node = story.node(story.frozen)
    node.running.signal(signal.SIGCONT)
    for _ in range(20):
        story.unfresh.append(story.deployment.show(node))
    story.frozen = ""


@then("the frozen node never showed an older version as fresh")
def never_stale(story: Story) -> None:
    wrong = [s for s in story.unfresh if s and s["fresh"] and s["version"] < 2]
    assert not wrong


@then(parsers.parse("{name} refuses with stale and not-run within 8 s"))
def refuses_stale(story: Story, name: str) -> None:
    def refused() -> bool:
        answer = chat(story.node(name), "a1", {"X-Ridgesill-Timeout": "1"})
        if answer.status == 200:
            return False
        assert answer.outcome == "not-run"
        return bool(answer.error["code"] == "stale")

    wait_until(refused, f"{name} refuses", 8)


@then(parsers.parse("{name} is not ready"))
def not_ready(story: Story, name: str) -> None:
    assert not story.node(name).is_ready()


# -- requests ---------------------------------------------------------


@then("every running node answers a request")
def all_answer(story: Story) -> None:
    for node in story.running():
        answers(story, node.name, 20)


@then(parsers.parse("{name} answers a request within {seconds:d} s"))
def answers(story: Story, name: str, seconds: int) -> None:
    def answered() -> bool:
        headers = {"X-Ridgesill-Timeout": "2"}
        return chat(story.node(name), "a1", headers).status == 200

    wait_until(answered, f"{name} answers", seconds)


@when("the owner of east/assist is killed")
def kill_owner(story: Story) -> None:
    status = story.deployment.status(story.node("n3"))
    owners = {pool["pool"]: pool["owner"] for pool in status["pools"]}
    story.victim = owners["east/assist"]
    story.node(story.victim).running.kill()


@when("the owner of east/assist is frozen")
def freeze_owner(story: Story) -> None:
    status = story.deployment.status(story.node("n3"))
    pool = next(p for p in status["pools"] if p["pool"] == "east/assist")
    story.epoch = pool["epoch"]
    story.frozen = story.victim = pool["owner"]
    story.node(story.frozen).running.signal(signal.SIGSTOP)


@then("it orders nothing under its old epoch")
def no_old_orders(story: Story) -> None:
    node = story.node(story.victim)
    wait_until(node.is_ready, "the node that was frozen is fresh again")
    for number in range(23):
        chat(node, f"a{number}", {"X-Ridgesill-Timeout": "2"})
    events = story.deployment.stand_ins["r1"].events()
    orders = [e for e in events if e.get("epoch")]
    latest = [e["epoch"] for e in orders]
    assert max(latest) > story.epoch
    assert latest == sorted(latest)


@then(
    parsers.parse(
        "a request for an adapter of east is answered within {seconds:d} s"
    )
)
def answered_in_east(story: Story, seconds: int) -> None:
    node = next(n for n in story.running() if n.name != story.victim)
    # r2 in the west goes, so that only the pool in the east can answer.
    story.deployment.stand_ins["r2"].running.kill()

    def answered() -> bool:
        answer = chat(node, "a1", {"X-Ridgesill-Timeout": "2"})
        place = answer.headers.get("X-Ridgesill-Data-Centre")
        return answer.status == 200 and place == "east"

    wait_until(answered, "the pool has a new owner", seconds)


@then("no adapter in use was unloaded")
def none_unloaded_in_use(story: Story) -> None:
    events = [
        event
        for stand_in in story.deployment.stand_ins.values()
        for event in stand_in.events()
    ]
    assert not [e for e in events if e["event"] == "unload-in-use"]


@when(parsers.parse("a stream of 3 s is begun through {name}"))
def begin_stream(story: Story, name: str) -> None:
    # About 5.5 ms a token on an otherwise idle stand-in.
    _, story.chunks = open_stream(story.node(name), "a1", max_tokens=550)
    next(story.chunks)


@when(parsers.parse("{name} is asked to stop"))
def ask_to_stop(story: Story, name: str) -> None:
    story.node(name).running.signal(signal.SIGTERM)


@then("the stream ends whole")
@then("the long stream ends whole")
def stream_whole(story: Story) -> None:
    assert story.chunks is not None
    assert b"".join(story.chunks).rstrip().endswith(b"data: [DONE]")


@then(parsers.parse("{name} stops with status 0"))
def stopped(story: Story, name: str) -> None:
    assert story.node(name).running.stop() == 0


@when("requests are sent while each node is restarted")
def rolling_restart(story: Story) -> None:
    stop = threading.Event()
    workers = [
        threading.Thread(target=_send_until, args=(story, number, stop))
        for number in range(4)
    ]
    for worker in workers:
        worker.start()
    try:
        for name in list(story.deployment.nodes):
            assert story.node(name).running.stop() == 0
            story.deployment.start_node(name)
            wait_until(story.node(name).is_ready, f"{name} is ready")
            story.deployment.wait_serving()
    finally:
        stop.set()
        for worker in workers:
            worker.join()


def _send_until(story: Story, number: int, stop: threading.Event) -> None:
    count = 0
    while not stop.is_set():
        count += 1
        ready = [n for n in story.deployment.nodes.values() if n.is_ready()]
        if not ready:
            continue
        node = ready[(number + count) % len(ready)]
        adapter = f"a{(number * 7 + count) % 23}"
        try:
            answer = chat(node, adapter, max_tokens=20)
        except urllib3.exceptions.HTTPError as error:
            story.answers.append(error)
        else:
            story.answers.append(answer)


@then("every request was answered or truthfully refused")
def all_truthful(story: Story) -> None:
    assert len(story.answers) > 20
    for answer in story.answers:
        assert isinstance(answer, CallerAnswer), answer
        if answer.status == 200:
            assert len(answer.words) == 20
        else:
            assert answer.outcome == "not-run", answer.data
            assert "Retry-After" in answer.headers
    refused = [a for a in story.answers if a.status != 200]
    assert len(refused) <= len(story.answers) // 10


@when("a stream is begun on a runner and the runner is killed")
def kill_streaming_runner(story: Story) -> None:
    response, story.chunks = open_stream(
        story.node("n1"), "a0", max_tokens=10_000
    )
    next(story.chunks)
    name = response.headers["X-Ridgesill-Runner"]
    story.deployment.stand_ins[name].running.kill()


@then("the stream ends with an error event")
def error_event(story: Story) -> None:
    assert story.chunks is not None
    data = b""
    try:
        for chunk in story.chunks:
            data += chunk
    except urllib3.exceptions.HTTPError as error:
        story.answers.append(error)
    last = data.strip().split(b"\n\n")[-1]
    event = msgspec.json.decode(last.removeprefix(b"data: "))
    assert event["error"]["code"] == "stream-cut"
    assert event["outcome"] == "unknown"


@then("the connection does not end cleanly")
def unclean_end(story: Story) -> None:
    assert story.answers


# -- at most once -----------------------------------------------------


@when("a ticket that takes 2 s is sent through n2 with a key")
def slow_ticket(story: Story) -> None:
    headers = {"Idempotency-Key": "slow", "X-Delay": "2"}

    def send() -> None:
        try:
            request(story.node("n2"), "POST", _TICKETS, b"{}", headers)
        except urllib3.exceptions.HTTPError as error:
            story.answers.append(error)

    threading.Thread(target=send, daemon=True).start()
    ticket = story.deployment.stand_ins["t1"]
    wait_until(ticket.events, "the ticket runs")


@when("n2 is killed while the ticket runs")
def kill_n2(story: Story) -> None:
    story.node("n2").running.kill()


@then("the same ticket through n1 never runs again")
def never_again(story: Story) -> None:
    headers = {"Idempotency-Key": "slow", "X-Delay": "2"}

    def is_unknown() -> bool:
        answer = request(story.node("n1"), "POST", _TICKETS, b"{}", headers)
        story.answers.append(answer)
        return answer.outcome == "unknown"

    wait_until(is_unknown, "the record says unknown", 30)
    assert len(story.deployment.stand_ins["t1"].events()) == 1


@then("in the end its outcome is unknown")
def ends_unknown(story: Story) -> None:
    answered = [a for a in story.answers if isinstance(a, CallerAnswer)]
    assert answered[-1].status == 409
    assert answered[-1].outcome == "unknown"


# -- leaving ----------------------------------------------------------


@when("runner r1 is asked to leave during a long stream on it")
def leave(story: Story) -> None:
    # a0 may run in the west only; a1 runs in both, so find r1 by trying.
    def on_r1() -> bool:
        for adapter in ("a1", "a3", "a5", "a7", "a9", "a11"):
            response, chunks = open_stream(
                story.node("n1"), adapter, max_tokens=900
            )
            if response.headers["X-Ridgesill-Runner"] == "r1":
                next(chunks)
                story.chunks = chunks
                return True
            response.close()
        return False

    wait_until(on_r1, "a stream on r1")
    story.deployment.stand_ins["r1"].running.signal(signal.SIGTERM)


@then("after 2 s no new request reaches r1")
def none_reach(story: Story) -> None:
    time.sleep(2.0)
    runner = story.deployment.stand_ins["r1"]
    before = [e for e in runner.events() if e["event"] == "begin"]
    for number in range(10):
        chat(story.node("n1"), f"a{number * 2 + 1}")
    after = [e for e in runner.events() if e["event"] == "begin"]
    assert len(after) == len(before)
