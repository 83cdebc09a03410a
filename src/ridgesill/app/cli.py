"""The command line."""

import asyncio
import sys
import uuid
from pathlib import Path
from typing import Any

import fire
import msgspec

from ridgesill.adapters.ini import IniError

_TIMEOUT = 30.0


class CommandError(Exception):
    """A command that failed; says what to do next."""


class Commands:
    """Ridgesill serves very many LoRA adapters on runners with few slots.

    Run `ridgesill COMMAND --help` for one command.
    """

    def found(self, settings: str) -> str:
        """Makes a first voter's empty data folder the start of a new log.

        Run it once on each VM that [voters] seeds names, before any node
        runs; never again after a disk was lost.

        Args:
            settings: path of the node's settings file.
        """
        from ridgesill.app.found import found_log
        from ridgesill.app.settings import read_settings

        read = read_settings(settings)
        if not read.data_folder or read.name not in read.seeds:
            raise CommandError(
                f"{settings}: only a node with a data folder that [voters] "
                "seeds names can found the log"
            )
        return f"founded {found_log(read)}"

    def node(self, settings: str) -> None:
        """Runs a node until SIGTERM, which lets work in progress finish.

        Args:
            settings: path of the node's settings file.
        """
        from ridgesill.adapters.logs import open_log
        from ridgesill.app.clock import BootClockLoop
        from ridgesill.app.node import NodeProcess
        from ridgesill.app.settings import read_settings

        read = read_settings(settings)
        open_log(read.log_file)
        token = Path(read.token_file).read_text().strip()

        async def run() -> None:
            await NodeProcess(read, token).run()

        with asyncio.Runner(loop_factory=BootClockLoop) as runner:
            runner.run(run())

    def front(self) -> None:
        """Runs a front on the users' platform until SIGTERM."""
        from ridgesill.app.platform_roles import run_front

        run_front()

    def control(self) -> None:
        """Runs a control node on the users' platform until SIGTERM."""
        from ridgesill.app.platform_roles import run_control

        run_control()

    def explain(self, request: str, *files: str) -> str:
        """Says from logs what became of one request, and why.

        Args:
            request: the request's id.
            files: paths of the logs of fronts and control nodes.
        """
        from ridgesill.app.explain import (
            NoSuchRequestError,
            explain,
            read_lines,
        )

        try:
            return explain(str(request), read_lines(map(str, files)))
        except (OSError, NoSuchRequestError) as error:
            raise CommandError(str(error)) from error

    def account(self, *files: str) -> str:
        """Says from logs how many requests were not in time, and why.

        Args:
            files: paths of the logs of all fronts; lines of other processes
                are passed over.
        """
        from ridgesill.app.account import (
            NoEndsError,
            make_account,
            show_account,
        )
        from ridgesill.app.explain import read_lines

        try:
            return show_account(make_account(read_lines(map(str, files))))
        except (OSError, NoEndsError) as error:
            raise CommandError(str(error)) from error

    def quarantine(self, control: str) -> str:
        """Lists the requests that get no upstream, and what ended under them.

        `request:quarantined` in the logs of fronts names the requests that
        were refused for it.

        Args:
            control: IP:PORT of any control node's control address.
        """
        from ridgesill.platform.control_calls import QUARANTINE_PATH

        said = _read_answer("GET", control, QUARANTINE_PATH)
        return _pretty(said)

    def lift(self, request: str, control: str) -> str:
        """Has a request in quarantine get upstreams again.

        Do so once upstreams no longer end under it, as with a repaired
        version; if they do, it is in quarantine again after three ends.

        Args:
            request: as `quarantine` names it.
            control: IP:PORT of any control node's control address.
        """
        from ridgesill.platform.control_calls import LIFT_PATH

        _read_answer("POST", control, f"{LIFT_PATH}{request}")
        return f"{request}: gets upstreams again"

    def quota(self, control: str) -> str:
        """Lists limited customers, what they send, and how much is refused.

        Args:
            control: IP:PORT of the control address of the fleet's owner; any
                other control node names it.
        """
        from ridgesill.platform.control_calls import QUOTAS_PATH

        return _pretty(_read_answer("GET", control, QUOTAS_PATH))

    def limits(self, control: str) -> str:
        """Lists upstreams that have named limits, and what they get.

        Args:
            control: IP:PORT of the control address of the fleet's owner; any
                other control node names it.
        """
        from ridgesill.platform.control_calls import LIMITS_PATH

        return _pretty(_read_answer("GET", control, LIMITS_PATH))

    def check(self, file: str) -> str:
        """Checks a configuration file and lists everything wrong with it.

        Args:
            file: path of the configuration file.
        """
        from ridgesill.adapters.configuration_ini import read_configuration

        declared = read_configuration(file)
        return (
            f"{file}: version {declared.version} is well formed: "
            f"{len(declared.teams)} teams, {len(declared.services)} services, "
            f"{len(declared.adapters)} adapters"
        )

    def apply(
        self, file: str, admin: str, token_file: str, operation: str = ""
    ) -> str:
        """Applies a configuration file as a whole.

        Args:
            file: path of the configuration file.
            admin: IP:PORT of any node's administration interface.
            token_file: path of the file that holds the token.
            operation: names this attempt; give the same one to send a file
                again whose answer was lost.
        """
        from ridgesill.adapters.configuration_ini import read_configuration

        declared = read_configuration(file)
        body = msgspec.json.encode(declared)
        headers = {"X-Operation-Id": operation or uuid.uuid4().hex}
        answer = _ask(
            admin, token_file, "POST", "/v1/configuration", body, headers
        )
        if answer.get("verdict") != "accepted":
            raise CommandError(f"{file}: {answer.get('detail', answer)}")
        return f"{file}: {answer['detail']}"

    def show(self, admin: str, token_file: str) -> str:
        """Shows which configuration is in force on a node.

        Args:
            admin: IP:PORT of the node's administration interface.
            token_file: path of the file that holds the token.
        """
        return _pretty(_ask(admin, token_file, "GET", "/v1/configuration"))

    def status(self, admin: str, token_file: str) -> str:
        """Shows nodes, voters, pools with their owners, and runners.

        Args:
            admin: IP:PORT of any node's administration interface.
            token_file: path of the file that holds the token.
        """
        return _pretty(_ask(admin, token_file, "GET", "/v1/status"))

    def drain(self, admin: str, token_file: str) -> str:
        """Has a node finish its work, hand over its pools and stop.

        Args:
            admin: IP:PORT of the node's administration interface.
            token_file: path of the file that holds the token.
        """
        _ask(admin, token_file, "POST", "/v1/drain")
        return f"{admin}: draining"

    def stand_in(self, settings: str) -> None:
        """Runs a stand-in for a runner or a plain service, for trials.

        Args:
            settings: path of the stand-in's settings file.
        """
        from ridgesill.standin.process import run_stand_in

        run_stand_in(settings)

    def replay(self, trace: str, nodes: str, speed: float = 1.0) -> str:
        """Replays a trace against running nodes and checks its outcomes.

        Args:
            trace: path of the trace, JSON lines.
            nodes: IP:PORT of callers' listeners, separated by commas.
            speed: how many times faster than recorded.
        """
        from ridgesill.standin.replay import TraceReplayer
        from ridgesill.standin.traces import read_trace

        try:
            requests = read_trace(Path(trace))
        except (OSError, ValueError) as error:
            raise CommandError(f"{trace}: {error}") from error
        totals = TraceReplayer(_split(nodes)).replay(requests, speed)
        for line in totals.unexpected[:20]:
            print(line)
        if totals.unexpected:
            raise CommandError(totals.summary())
        return totals.summary()

    def load(
        self,
        nodes: str,
        adapters: int,
        rate: float = 10.0,
        seconds: float = 30.0,
        seed: int = 1,
        trace: str = "",
    ) -> str:
        """Sends a made load to running nodes, or writes it as a trace.

        Args:
            nodes: IP:PORT of callers' listeners, separated by commas.
            adapters: how many adapters `adapter-0000` and on are declared.
            rate: requests a second.
            seconds: how long.
            seed: equal seeds make equal loads.
            trace: path to write the trace to, instead of sending it.
        """
        from ridgesill.standin.replay import TraceReplayer
        from ridgesill.standin.traces import Workload, make_trace, write_trace

        workload = Workload(
            seconds, rate, adapters, popular_adapters=min(50, adapters // 2)
        )
        requests = [r for r in make_trace(workload, seed) if r.adapter]
        if trace:
            write_trace(requests, Path(trace))
            return f"{trace}: {len(requests)} requests"
        return TraceReplayer(_split(nodes)).replay(requests).summary()

    def experiment(self, plan: str, out: str, jobs: int = 0) -> str:
        """Plays emulated days with variants of the decisions, side by side.

        Writes each run as a JSON line, tables and plots into a folder. Needs
        requirements/experiment.txt beside the program.

        Args:
            plan: path of the experiment, TOML; docs/how-to/experiment.md.
            out: path of the folder to write to.
            jobs: processes at once; 0 for all processors but one.
        """
        from ridgesill.standin.experiment.plan import PlanError, read_plan
        from ridgesill.standin.experiment.report import write_report

        try:
            return write_report(read_plan(plan), Path(out), jobs)
        except (OSError, PlanError, ImportError) as error:
            raise CommandError(str(error)) from error


def _ask(
    admin: str,
    token_file: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Any:
    # Not at the top: it takes 0.06 of the 0.47 s of processor time in which a
    # front or control node starts, and these don't use it.
    import urllib3

    try:
        token = Path(token_file).read_text().strip()
    except OSError as error:
        raise CommandError(f"{token_file}: {error.strerror}") from error
    sent = {"Authorization": f"Bearer {token}", **(headers or {})}
    try:
        response = urllib3.request(
            method,
            f"http://{admin}{path}",
            body=body,
            headers=sent,
            timeout=_TIMEOUT,
            retries=False,
        )
    except urllib3.exceptions.HTTPError as error:
        raise CommandError(
            f"{method} {path} with {admin}: {error}; is this a node's "
            "[listen] admin address?"
        ) from error
    if response.status == 401:
        raise CommandError(f"{admin} does not accept the token in {token_file}")
    try:
        return msgspec.json.decode(response.data)
    except msgspec.DecodeError as error:
        raise CommandError(f"{admin}: status {response.status}") from error


def _read_answer(method: str, control: str, path: str) -> Any:
    """Returns what a control node answers to a call on the users' platform."""
    import urllib3

    try:
        response = urllib3.request(
            method, f"http://{control}{path}", timeout=_TIMEOUT, retries=False
        )
        said = msgspec.json.decode(response.data)
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
        raise CommandError(
            f"{method} {path} with {control}: {error}; is this a control "
            "node's control address?"
        ) from error
    if response.status != 200:
        raise CommandError(f"{control}: {said.get('detail', response.status)}")
    return said


def _split(nodes: Any) -> tuple[str, ...]:
    # `fire` itself may already have split the list.
    parts = nodes if isinstance(nodes, tuple | list) else str(nodes).split(",")
    return tuple(str(part).strip() for part in parts)


def _pretty(value: Any) -> str:
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def main() -> None:
    """Runs the command line; problems end with a message and status 1."""
    try:
        fire.Fire(Commands, name="ridgesill")
    except (CommandError, IniError) as error:
        print(f"ridgesill: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
