"""The command line of ridgesill."""

import asyncio
import sys
import uuid
from pathlib import Path
from typing import Any

import fire
import msgspec

from ridgesill.adapters.ini import IniError

_TIMEOUT_SECONDS = 30.0


class CommandError(Exception):
    """A command failed; the message says what to do next."""


class Commands:
    """Ridgesill serves many LoRA adapters on runners with few slots.

    Run `ridgesill COMMAND --help` for the arguments of a command.
    """

    def found(self, settings: str) -> str:
        """Initialises the empty data folder of one of the first voters.

        Run it once on each VM that is listed in [voters] seeds, before any
        node runs. Don't run it again after a disk was lost.

        Args:
            settings: path of the node's settings file.
        """
        from ridgesill.app.log_founding import found_log
        from ridgesill.app.settings import read_settings

        node_settings = read_settings(settings)
        if (
            not node_settings.data_folder
            or node_settings.name not in node_settings.seeds
        ):
            raise CommandError(
                f"{settings}: only a node that has a data folder and is listed "
                "in [voters] seeds can found the log"
            )
        return f"founded {found_log(node_settings)}"

    def node(self, settings: str) -> None:
        """Runs a node until SIGTERM; work in progress is then finished.

        Args:
            settings: path of the node's settings file.
        """
        from ridgesill.adapters.logs import open_log
        from ridgesill.app.clock import BootClockLoop
        from ridgesill.app.node import NodeProcess
        from ridgesill.app.settings import read_settings

        node_settings = read_settings(settings)
        open_log(node_settings.log_file)
        token = Path(node_settings.token_file).read_text().strip()

        async def run() -> None:
            await NodeProcess(node_settings, token).run()

        with asyncio.Runner(loop_factory=BootClockLoop) as runner:
            runner.run(run())

    def front(self) -> None:
        """Runs a front until SIGTERM."""
        from ridgesill.app.platform_roles import run_front

        run_front()

    def control(self) -> None:
        """Runs a control node until SIGTERM."""
        from ridgesill.app.platform_roles import run_control

        run_control()

    def explain(self, request: str, *files: str) -> str:
        """Explains the outcome of one request from the logs.

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
        """Counts the requests that failed or were late, by cause, from logs.

        Args:
            files: paths of the logs of all fronts; lines of other processes
                are ignored.
        """
        from ridgesill.app.account import (
            NoRequestEndsError,
            format_account,
            make_account,
        )
        from ridgesill.app.explain import read_lines

        try:
            return format_account(make_account(read_lines(map(str, files))))
        except (OSError, NoRequestEndsError) as error:
            raise CommandError(str(error)) from error

    def quarantine(self, control: str) -> str:
        """Lists what is in quarantine, and the upstreams that ended under it.

        These are requests, and parts of prompts with the trials that were made
        of them. Requests in quarantine, or with such a part, are sent to no
        upstream. The fronts log each such refusal as `request:quarantined`.

        Args:
            control: IP:PORT of any control node's control address.
        """
        from ridgesill.platform.control_calls import QUARANTINE_PATH

        answer = _call_control("GET", control, QUARANTINE_PATH)
        return _format_json(answer)

    def lift(self, request: str, control: str) -> str:
        """Releases a request, or a part of prompts, from quarantine.

        Do so once the request no longer ends upstreams, for example after
        a repaired version was deployed. If it ends three more upstreams, it
        is put into quarantine again.

        Args:
            request: the name of the request or part in the output of
                `quarantine`.
            control: IP:PORT of any control node's control address.
        """
        from ridgesill.platform.control_calls import LIFT_PATH

        _call_control("POST", control, f"{LIFT_PATH}{request}")
        return f"{request}: released from quarantine"

    def quota(self, control: str) -> str:
        """Lists limited customers, their use and how much of it is refused.

        Args:
            control: IP:PORT of the control address of the fleet's owner; any
                other control node answers with the owner's address.
        """
        from ridgesill.platform.control_calls import QUOTAS_PATH

        return _format_json(_call_control("GET", control, QUOTAS_PATH))

    def limits(self, control: str) -> str:
        """Lists the rate limits that upstreams named, and the rates they get.

        Args:
            control: IP:PORT of the control address of the fleet's owner; any
                other control node answers with the owner's address.
        """
        from ridgesill.platform.control_calls import LIMITS_PATH

        return _format_json(_call_control("GET", control, LIMITS_PATH))

    def check(self, file: str) -> str:
        """Checks a configuration file and lists all problems.

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
        """Replaces the configuration in force by a file.

        Args:
            file: path of the configuration file.
            admin: IP:PORT of any node's administration interface.
            token_file: path of the file that holds the token.
            operation: id of this attempt; pass the same id to resend a file
                whose answer was lost.
        """
        from ridgesill.adapters.configuration_ini import read_configuration

        declared = read_configuration(file)
        body = msgspec.json.encode(declared)
        headers = {"X-Operation-Id": operation or uuid.uuid4().hex}
        answer = _call_admin(
            admin, token_file, "POST", "/v1/configuration", body, headers
        )
        if answer.get("verdict") != "accepted":
            raise CommandError(f"{file}: {answer.get('detail', answer)}")
        return f"{file}: {answer['detail']}"

    def show(self, admin: str, token_file: str) -> str:
        """Shows the configuration that is in force on a node.

        Args:
            admin: IP:PORT of the node's administration interface.
            token_file: path of the file that holds the token.
        """
        return _format_json(
            _call_admin(admin, token_file, "GET", "/v1/configuration")
        )

    def status(self, admin: str, token_file: str) -> str:
        """Shows nodes, voters, pools with their owners, and runners.

        Args:
            admin: IP:PORT of any node's administration interface.
            token_file: path of the file that holds the token.
        """
        return _format_json(_call_admin(admin, token_file, "GET", "/v1/status"))

    def drain(self, admin: str, token_file: str) -> str:
        """Makes a node finish its work, release its pools and stop.

        Args:
            admin: IP:PORT of the node's administration interface.
            token_file: path of the file that holds the token.
        """
        _call_admin(admin, token_file, "POST", "/v1/drain")
        return f"{admin}: draining"

    def stand_in(self, settings: str) -> None:
        """Runs a simulated runner or plain service for tests.

        Args:
            settings: path of the simulated service's settings file.
        """
        from ridgesill.standin.process import run_stand_in

        run_stand_in(settings)

    def replay(self, trace: str, nodes: str, speed: float = 1.0) -> str:
        """Replays a trace against running nodes and checks the outcomes.

        Args:
            trace: path of the trace, a file of JSON lines.
            nodes: IP:PORT of callers' listeners, separated by commas.
            speed: factor by which to replay faster than recorded.
        """
        from ridgesill.standin.replay import TraceReplayer
        from ridgesill.standin.traces import read_trace

        try:
            requests = read_trace(Path(trace))
        except (OSError, ValueError) as error:
            raise CommandError(f"{trace}: {error}") from error
        totals = TraceReplayer(_split_addresses(nodes)).replay(requests, speed)
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
        """Sends a synthetic load to running nodes, or writes it as a trace.

        Args:
            nodes: IP:PORT of callers' listeners, separated by commas.
            adapters: number of declared adapters, from `adapter-0000` on.
            rate: requests per second.
            seconds: duration of the load.
            seed: seed of the random generator; equal seeds give equal loads.
            trace: path to write the load to as a trace, instead of sending it.
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
        return TraceReplayer(_split_addresses(nodes)).replay(requests).summary()

    def experiment(self, plan: str, out: str, jobs: int = 0) -> str:
        """Simulates days of traffic with variants of the decision rules.

        Writes each run as a JSON line, and tables and plots, into a folder.
        Needs the packages in requirements/experiment.txt.

        Args:
            plan: path of the plan, TOML; see docs/how-to/experiment.md.
            out: path of the folder to write to.
            jobs: number of parallel processes; 0 for one per processor but
                one.
        """
        from ridgesill.standin.experiment.plan import PlanError, read_plan
        from ridgesill.standin.experiment.report import write_report

        try:
            return write_report(read_plan(plan), Path(out), jobs)
        except (OSError, PlanError, ImportError) as error:
            raise CommandError(str(error)) from error


def _call_admin(
    admin: str,
    token_file: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Any:
    """Returns the decoded JSON answer of a node's administration interface.

    Raises:
        CommandError: the token cannot be read or is not accepted, or the node
            cannot be reached or answered with no JSON.
    """
    # Imported here because it takes 0.06 s of the 0.47 s of processor time
    # that a front or control node needs to start, and they don't use it.
    import urllib3

    try:
        token = Path(token_file).read_text().strip()
    except OSError as error:
        raise CommandError(f"{token_file}: {error.strerror}") from error
    all_headers = {"Authorization": f"Bearer {token}", **(headers or {})}
    try:
        response = urllib3.request(
            method,
            f"http://{admin}{path}",
            body=body,
            headers=all_headers,
            timeout=_TIMEOUT_SECONDS,
            retries=False,
        )
    except urllib3.exceptions.HTTPError as error:
        raise CommandError(
            f"{method} {path} with {admin}: {error}; is this a node's "
            "[listen] admin address?"
        ) from error
    if response.status == 401:
        raise CommandError(
            f"{admin} does not accept the token; give the file that the node's "
            f"[admin] token_file names instead of {token_file}"
        )
    try:
        return msgspec.json.decode(response.data)
    except msgspec.DecodeError as error:
        raise CommandError(
            f"{admin} sent no JSON; check that this is a node's [listen] admin "
            f"address; its HTTP status was {response.status}"
        ) from error


def _call_control(method: str, control: str, path: str) -> Any:
    """Returns the decoded JSON answer of a control node.

    Raises:
        CommandError: the node cannot be reached or answered with an error.
    """
    import urllib3

    try:
        response = urllib3.request(
            method,
            f"http://{control}{path}",
            timeout=_TIMEOUT_SECONDS,
            retries=False,
        )
        answer = msgspec.json.decode(response.data)
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
        raise CommandError(
            f"{method} {path} with {control}: {error}; is this a control "
            "node's control address?"
        ) from error
    if response.status != 200:
        raise CommandError(
            f"{control}: {answer.get('detail', response.status)}"
        )
    return answer


def _split_addresses(nodes: Any) -> tuple[str, ...]:
    # `fire` already turns some comma-separated values into tuples.
    parts = nodes if isinstance(nodes, tuple | list) else str(nodes).split(",")
    return tuple(str(part).strip() for part in parts)


def _format_json(value: Any) -> str:
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def main() -> None:
    """Runs the command line; exits with status 1 if the command fails."""
    try:
        fire.Fire(Commands, name="ridgesill")
    except (CommandError, IniError) as error:
        print(f"ridgesill: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
