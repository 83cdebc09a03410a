"""The stand-in process: its HTTP interface, announcements and journal."""

import asyncio
import hashlib
import itertools
import json
import queue
import random
import secrets
import signal
import threading
import time
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

import attrs
import urllib3

from ridgesill.adapters.announce_http import ANNOUNCE_PATH
from ridgesill.adapters.http_server import (
    HttpResponse,
    HttpServer,
    ServerLimits,
    StartResponse,
    json_response,
    read_body,
    send_response,
)
from ridgesill.adapters.runner_http import EPOCH_HEADER, UNSTARTED_HEADER
from ridgesill.core import codec
from ridgesill.core.runners import Announcement
from ridgesill.standin.engine import (
    AbsentError,
    BusyError,
    Engine,
    FencedError,
    OrderError,
    Sequence,
)
from ridgesill.standin.settings import StandInSettings, read_stand_in

_MAX_THREADS = 128
_MAX_BODY_BYTES = 8 * 2**20
_DEFAULT_TOKENS = 8
_ECHOED_HEADERS = {"HTTP_X_TRACE": "Trace", "HTTP_X_RIDGESILL_TEAM": "Team"}
_EPOCH_ENVIRON_KEY = "HTTP_" + EPOCH_HEADER.upper().replace("-", "_")


class Journal:
    """Appends the events of a stand-in to a file, as JSON lines.

    Args:
        path: path of the file; "" to discard all events.
        runner: name of the stand-in, written with each event.
    """

    def __init__(self, path: str, runner: str) -> None:
        self._file: TextIO | None = open(path, "a") if path else None  # noqa: SIM115
        self._runner = runner
        self._lock = threading.Lock()

    def record(self, event: str, **fields: Any) -> None:
        """Appends an event with the current time; thread-safe."""
        if self._file is None:
            return
        line = {"event": event, "runner": self._runner, "at": time.time()}
        with self._lock:
            self._file.write(json.dumps({**line, **fields}) + "\n")
            self._file.flush()


class ModelApp:
    """WSGI application of a model runner.

    Args:
        settings: settings of the stand-in.
        engine: engine that runs the requests and orders.
        loop: event loop of the engine; requests arrive on other threads.
    """

    def __init__(
        self,
        settings: StandInSettings,
        engine: Engine,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._settings = settings
        self._engine = engine
        self._loop = loop

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves a completion request or an order."""
        path = environ["PATH_INFO"]
        body = json.loads(read_body(environ, _MAX_BODY_BYTES) or b"{}")
        if path.startswith("/v1/") and path.endswith("completions"):
            return self._handle_completion(environ, body, start_response)
        answer = self._handle_order(
            path, body, int(environ.get(_EPOCH_ENVIRON_KEY, "0"))
        )
        return send_response(answer, start_response)

    def _handle_order(
        self, path: str, body: dict[str, Any], epoch: int
    ) -> HttpResponse:
        adapter = body.get("lora_name", "")
        try:
            self._run_on_loop(self._execute_order(path, adapter, epoch))
        except FencedError as error:
            return json_response(409, {"error": str(error)})
        except OrderError as error:
            return json_response(500, {"error": str(error)})
        return json_response(200, {})

    async def _execute_order(self, path: str, adapter: str, epoch: int) -> None:
        if path == "/v1/load_lora_adapter":
            await self._engine.load(adapter, epoch)
        elif path == "/v1/unload_lora_adapter":
            self._engine.unload(adapter, epoch)
        elif path == "/v1/fence":
            self._engine.fence(epoch)
        else:
            raise OrderError(f"no such order: {path}")

    def _run_on_loop(self, coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def _handle_completion(
        self,
        environ: dict[str, Any],
        body: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        request = environ.get("HTTP_X_REQUEST_ID", "") or secrets.token_hex(4)
        # A retry with the same request id may reach the same engine, so each
        # sequence gets a unique name.
        name = f"{request}/{secrets.token_hex(3)}"
        tokens: queue.SimpleQueue[int | None | Exception] = queue.SimpleQueue()
        error = self._run_on_loop(self._submit(name, body, tokens))
        if isinstance(error, Exception):
            status = 404 if isinstance(error, AbsentError) else 503
            answer = json_response(status, {"error": repr(error)})
            headers = [
                ("Content-Type", "application/json"),
                (UNSTARTED_HEADER, "true"),
                ("Content-Length", str(len(answer.body))),
            ]
            start_response(f"{status} Unstarted", headers)
            return [answer.body]
        words = self._make_words(body)
        cancel = lambda: self._loop.call_soon_threadsafe(  # noqa: E731
            self._engine.cancel, name
        )
        if body.get("stream"):
            start_response("200 OK", [("Content-Type", "text/event-stream")])
            return _EventStream(words, tokens, cancel)
        return self._send_whole(words, tokens, start_response)

    async def _submit(
        self, name: str, body: dict[str, Any], tokens: queue.SimpleQueue
    ) -> Exception | None:
        prompt = json.dumps(body.get("messages", body.get("prompt", "")))
        count = int(body.get("max_tokens", _DEFAULT_TOKENS))
        sequence = Sequence(
            name, body["model"], count, prompt[:64], tokens.put, tokens.put
        )
        try:
            self._engine.submit(sequence)
        except (AbsentError, BusyError) as error:
            return error
        return None

    def _make_words(self, body: dict[str, Any]) -> list[str]:
        """Returns the first words of an answer, which identify its source.

        Later words are numbered.
        """
        prompt = json.dumps(body.get("messages", body.get("prompt", "")))
        digest = hashlib.sha256(prompt.encode()).hexdigest()[:12]
        settings = self._settings
        return [body["model"], settings.name, settings.data_centre, digest]

    def _send_whole(
        self,
        words: list[str],
        tokens: queue.SimpleQueue,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        content = []
        while (item := tokens.get()) is not None:
            if isinstance(item, Exception):
                return send_response(
                    json_response(500, {"error": "cut"}), start_response
                )
            content.append(_token_text(words, item))
        choice = {"index": 0, "message": {"content": " ".join(content)}}
        return send_response(
            json_response(200, {"choices": [choice]}), start_response
        )


def _token_text(words: list[str], number: int) -> str:
    return words[number] if number < len(words) else f"t{number}"


class _EventStream:
    """Yields the answer as server-sent events.

    The server calls `close` after the last event or when the caller
    disconnects.
    """

    def __init__(
        self, words: list[str], tokens: queue.SimpleQueue, cancel: Any
    ) -> None:
        self._make_words = words
        self._tokens = tokens
        self._cancel = cancel

    def __iter__(self) -> Iterator[bytes]:
        while (item := self._tokens.get()) is not None:
            if isinstance(item, Exception):
                raise item
            delta = {"content": _token_text(self._make_words, item)}
            event = {"choices": [{"index": 0, "delta": delta}]}
            yield b"data: " + json.dumps(event).encode() + b"\n\n"
        yield b"data: [DONE]\n\n"

    def close(self) -> None:
        """Cancels the sequence; has no effect if it has ended."""
        self._cancel()


class PlainApp:
    """WSGI application of a plain service that returns numbered tickets.

    Args:
        settings: settings of the stand-in.
        journal: records each call.

    Attributes:
        active: number of requests in progress.
    """

    def __init__(self, settings: StandInSettings, journal: Journal) -> None:
        self._settings = settings
        self._journal = journal
        self._numbers = itertools.count(1)
        self.active = 0
        self._lock = threading.Lock()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves a request; delays it by the seconds in its `X-Delay`."""
        body = read_body(environ, _MAX_BODY_BYTES)
        with self._lock:
            self.active += 1
        try:
            delay = float(environ.get("HTTP_X_DELAY", "0"))
            number = next(self._numbers)
            self._journal.record(
                "call",
                request=environ.get("HTTP_X_REQUEST_ID", ""),
                key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
                method=environ["REQUEST_METHOD"],
                path=environ["PATH_INFO"],
                body=body.decode("utf-8", "replace"),
            )
            time.sleep(delay or self._settings.model.step_seconds)
        finally:
            with self._lock:
                self.active -= 1
        answer = {
            "ticket": number,
            "runner": self._settings.name,
            "data_centre": self._settings.data_centre,
            "echo": hashlib.sha256(body).hexdigest()[:12],
        }
        echoed = tuple(
            (f"X-Echo-{name}", environ[field])
            for field, name in _ECHOED_HEADERS.items()
            if field in environ
        )
        whole = attrs.evolve(json_response(200, answer), headers=echoed)
        return send_response(whole, start_response)


class Announcer:
    """Sends announcements of the stand-in to nodes at regular intervals.

    Args:
        settings: settings with the nodes' addresses and the interval.
        engine: engine to announce.
        plain: plain service to announce instead; None for a model runner.
    """

    def __init__(
        self, settings: StandInSettings, engine: Engine, plain: PlainApp | None
    ) -> None:
        self._settings = settings
        self._engine = engine
        self._plain = plain
        self._numbers = itertools.count(1)
        self._pool = urllib3.PoolManager(timeout=1.0, retries=False)

    def make_announcement(self) -> Announcement:
        """Returns an announcement of the current state, with a new number."""
        settings = self._settings
        engine = self._engine
        is_plain = self._plain is not None
        active = {"": self._plain.active} if self._plain else engine.active
        return Announcement(
            settings.name,
            engine.incarnation,
            settings.service,
            settings.data_centre,
            settings.listen,
            0 if is_plain else settings.model.slots,
            settings.model.batch,
            tuple(sorted(engine.resident)),
            active,
            engine.is_draining,
            next(self._numbers),
        )

    async def run(self) -> None:
        """Announces until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            announcement = self.make_announcement()
            await asyncio.sleep(self._settings.report_lag)
            await loop.run_in_executor(None, self.send, announcement)
            await asyncio.sleep(self._settings.announce_seconds)

    def send(self, announcement: Announcement) -> None:
        """Sends an announcement to all nodes; ignores unreachable ones."""
        body = json.dumps(codec.to_builtins(announcement)).encode()
        for address in self._settings.announce:
            try:
                self._pool.request(
                    "POST", f"http://{address}{ANNOUNCE_PATH}", body=body
                )
            except urllib3.exceptions.HTTPError:
                continue


async def _run(settings: StandInSettings) -> None:
    loop = asyncio.get_running_loop()
    journal = Journal(settings.journal, settings.name)
    engine = Engine(settings.model, random.Random(), journal.record)
    plain = None
    app: Any = ModelApp(settings, engine, loop)
    if settings.kind == "plain":
        app = plain = PlainApp(settings, journal)
    limits = ServerLimits(_MAX_THREADS, 64 * 1024, _MAX_BODY_BYTES, 30.0)
    server = HttpServer(settings.listen, app, limits)
    server.start()
    announcer = Announcer(settings, engine, plain)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    tasks = [
        asyncio.create_task(engine.run()),
        asyncio.create_task(announcer.run()),
    ]
    await stop.wait()
    engine.is_draining = True
    await loop.run_in_executor(
        None, announcer.send, announcer.make_announcement()
    )
    while engine.active or (plain and plain.active):
        await asyncio.sleep(0.05)
    for task in tasks:
        task.cancel()
    server.stop()


def run_stand_in(path: str) -> None:
    """Runs a stand-in until SIGTERM or SIGINT, then drains its requests.

    Args:
        path: path of the settings file.

    Raises:
        IniError: the settings are wrong.
    """
    asyncio.run(_run(read_stand_in(path)))
