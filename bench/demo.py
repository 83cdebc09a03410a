"""Serves 60 requests through a small deployment and checks each answer."""

import collections
import hashlib
import json
import sys
import tempfile
from pathlib import Path
from typing import Any

import attrs
import urllib3

from testing.processes import Deployment, NodeHandle, deployed, wait_until

_TOKENS = 6
_CONFIGURATION = """
[configuration]
version = 1

[data-centre east]
region = coast
[data-centre west]
region = coast
[data-centre far]
region = coast

[team crews]
places = east, west
[team potters]

[service assist]
kind = model
base_model = base-7b
[service tickets]
kind = plain
repeatable = no
"""


def make_configuration() -> str:
    """Returns a configuration of `a0` to `a23` and `lonely` in two teams."""
    parts = [_CONFIGURATION]
    for number in range(24):
        team = "crews" if number % 2 else "potters"
        places = ""
        if number % 6 == 0:
            places = "places = west\n"
        if number == 23:
            places = "places = far\n"
        parts.append(
            f"[adapter a{number}]\nteam = {team}\nservice = assist\n"
            f"versions = v2, v1\n{places}"
        )
    # Team `crews` may use only east and west, so a23, which is restricted to
    # `far`, has no place to run. The adapter `lonely` may run in `far`, but no
    # runner is there.
    parts.append(
        "[adapter lonely]\nteam = potters\nservice = assist\n"
        "versions = v1\nplaces = far\n"
    )
    return "\n".join(parts)


@attrs.define
class DemoResult:
    """Counts the outcomes of the demo's requests.

    Attributes:
        answered: requests with a complete answer.
        refused: requests refused as expected.
        lost: requests without a complete answer.
        doubled: requests or keys that ran more than once.
        wrong_place: requests that ran in a place that is not allowed.
        faults: a description of each fault.
    """

    answered: int = 0
    refused: int = 0
    lost: int = 0
    doubled: int = 0
    wrong_place: int = 0
    faults: list[str] = attrs.Factory(list)

    def format_summary(self) -> str:
        """Returns the summary line."""
        return (
            f"demo: answered={self.answered} refused={self.refused} "
            f"lost={self.lost} doubled={self.doubled} "
            f"wrong_place={self.wrong_place}"
        )

    def has_passed(self) -> bool:
        """Whether all answers and stand-in events were as expected."""
        fault_count = self.lost + self.doubled + self.wrong_place
        return not fault_count and not self.faults


def allowed_places(number: int) -> set[str]:
    """Returns the places in which the adapter `a{number}` may run."""
    if number % 6 == 0:
        return {"west"}
    return {"east", "west"} if number % 2 else {"east", "west", "far"}


class Demo:
    """Sends requests to the nodes in turn and checks the answers.

    Args:
        deployment: a deployment that serves `make_configuration()`.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.result = DemoResult()
        self._nodes = list(deployment.nodes.values())
        self._http = urllib3.PoolManager(retries=False, timeout=30)

    def run(self) -> None:
        """Sends all requests, then checks the answers and stand-in events."""
        for number in range(40):
            self._send_completion(number)
        for number in range(6):
            self._send_service_call(number)
        for number in range(4):
            self._send_twice(number)
        for number in range(2):
            self._expect_refusal(number, "a23", 403)
            self._expect_refusal(number, "unheard-of", 404)
            self._expect_refusal(number, "a1@v9", 404)
        self._check_stand_in_events()

    def _choose_node(self, number: int) -> NodeHandle:
        return self._nodes[number % len(self._nodes)]

    def _post(
        self,
        node: NodeHandle,
        path: str,
        body: Any,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        url = f"http://{node.callers}{path}"
        return self._http.request("POST", url, json=body, headers=headers)

    def _send_completion(self, number: int) -> None:
        adapter = number % 23
        name = f"a{adapter}" + ("@v1" if number % 3 == 0 else "")
        streamed = number % 2 == 0
        message = {"role": "user", "content": f"prompt {number}"}
        body = {
            "model": name,
            "messages": [message],
            "max_tokens": _TOKENS,
            "stream": streamed,
        }
        answer = self._post(
            self._choose_node(number), "/v1/chat/completions", body
        )
        if answer.status != 200:
            self.result.lost += 1
            self.result.faults.append(
                f"{name} gave no completion: {answer.data!r}"
            )
            return
        self.result.answered += 1
        words = _parse_words(answer.data, streamed)
        self._check_completion(words, name, adapter, message)

    def _check_completion(
        self, words: list[str], name: str, adapter: int, message: dict
    ) -> None:
        expected_model = name if "@" in name else f"{name}@v2"
        digest = hashlib.sha256(json.dumps([message]).encode()).hexdigest()
        if len(words) != _TOKENS:
            self.result.lost += 1
            return
        if words[0] != expected_model or words[3] != digest[:12]:
            self.result.faults.append(
                f"{expected_model} expected in the answer, got {words}"
            )
        if words[2] not in allowed_places(adapter):
            self.result.wrong_place += 1

    def _send_service_call(self, number: int) -> None:
        answer = self._post(
            self._choose_node(number), "/services/tickets/new", {"hole": number}
        )
        if answer.status == 200:
            self.result.answered += 1
        else:
            self.result.lost += 1
            self.result.faults.append(
                f"call {number} of service tickets failed: {answer.data!r}"
            )

    def _send_twice(self, number: int) -> None:
        headers = {"Idempotency-Key": f"key-{number}"}
        body = {"keyed": number}
        path = "/services/tickets/new"
        first = self._post(self._choose_node(number), path, body, headers)
        second = self._post(self._choose_node(number + 1), path, body, headers)
        for answer in (first, second):
            if answer.status == 200:
                self.result.answered += 1
            else:
                self.result.lost += 1
                self.result.faults.append(
                    f"call with key key-{number} failed: {answer.data!r}"
                )
        if first.data != second.data:
            self.result.doubled += 1

    def _expect_refusal(self, number: int, model: str, status: int) -> None:
        body = {"model": model, "messages": []}
        answer = self._post(
            self._choose_node(number), "/v1/chat/completions", body
        )
        outcome = answer.headers.get("X-Ridgesill-Outcome")
        if answer.status == status and outcome == "not-run":
            self.result.refused += 1
        else:
            self.result.faults.append(
                f"{model} was not refused as expected: got status "
                f"{answer.status} and outcome {outcome}"
            )

    def _check_stand_in_events(self) -> None:
        events = [
            event
            for stand_in in self.deployment.stand_ins.values()
            for event in stand_in.events()
        ]
        keys = collections.Counter(e["key"] for e in events if e.get("key"))
        requests = collections.Counter(
            e["request"].split("/")[0]
            for e in events
            if e["event"] in ("begin", "call")
        )
        doubled = [k for k, n in (keys + requests).items() if n > 1]
        self.result.doubled += len(doubled)
        in_use = [e for e in events if e["event"] == "unload-in-use"]
        self.result.faults += [
            f"an engine unloaded an adapter in use: {e}" for e in in_use
        ]
        if len(requests) != 50:
            self.result.faults.append(
                f"{len(requests)} requests ran at the stand-ins, expected 50"
            )


def _parse_words(data: bytes, streamed: bool) -> list[str]:
    if not streamed:
        document = json.loads(data)
        return document["choices"][0]["message"]["content"].split()
    words = []
    for line in data.decode().splitlines():
        if line.startswith("data: {"):
            event = json.loads(line[6:])
            words.append(event["choices"][0]["delta"]["content"])
    return words


def make_deployment(
    folder: Path, settings: dict[str, dict[str, Any]] | None = None
) -> Deployment:
    """Returns three nodes, two runners and a plain service, not started.

    Args:
        folder: where the nodes keep their data.
        settings: settings of the nodes by section, beside the defaults.
    """
    deployment = Deployment(folder, settings)
    for name, place in (("n1", "east"), ("n2", "east"), ("n3", "west")):
        deployment.add_node(name, place, voter=True)
    engine = {"load_seconds": 0.02}
    deployment.add_stand_in("r1", "assist", "east", engine=engine)
    deployment.add_stand_in("r2", "assist", "west", engine=engine)
    deployment.add_stand_in("t1", "tickets", "east", kind="plain", slots=0)
    return deployment


def main() -> int:
    """Runs the demo; returns 0 if every check passed."""
    with tempfile.TemporaryDirectory() as name:
        deployment = make_deployment(Path(name))
        with deployed(deployment):
            wait_until(deployment.leader, "a leader")
            first = next(iter(deployment.nodes.values()))
            print(deployment.apply(first, make_configuration()).strip())
            deployment.wait_serving()
            demo = Demo(deployment)
            demo.run()
        for fault in demo.result.faults:
            print(f"fault: {fault}")
        print(demo.result.format_summary())
        return 0 if demo.result.has_passed() else 1


if __name__ == "__main__":
    sys.exit(main())
