"""A surplus answer is taken for a server's report, and the report for an answer."""

import asyncio
import itertools
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from documents import document, engine, route, service  # noqa: E402
from runners import (  # noqa: E402
    StreamRunner,
    expected_stream,
    head,
)
from world import HOST, CannotRunError, Deployment, ask, run_case  # noqa: E402

MODEL = "daka510000"
# garble: share 0.6 of the servers, 0.03 of their answers, for 5 s.
GARBLING_SERVERS, SERVERS, EVERY, SECONDS = 3, 6, 33, 5.0
WAVE_REQUESTS, WAVES, WAVE_SECONDS = 120, 12, 1.0
# The wave before which the server of the next software version starts.
RELEASE_WAVE = 6


class SurplusRunner(StreamRunner):
    """Answers some requests twice: the second answer comes late.

    It comes in the place where the next one is due on that channel.
    """

    garbles = False

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._answers = 0
        self._surplus = {}

    async def handle(self, method, path, headers, body, writer):
        late = self._surplus.pop(writer, None)
        if late is not None:
            self.record.add(
                f"{self.name} writes the second answer to {late[0]} in the"
                f" place of the answer to {method} {path}")
            writer.write(late[1])
            await writer.drain()
        await super().handle(method, path, headers, body, writer)

    async def write_answer(self, path, headers, writer):
        await super().write_answer(path, headers, writer)
        number = headers["request-id"]
        self._answers += 1
        if self.garbles and self._answers % EVERY == 0:
            body = expected_stream(number)
            self._surplus[writer] = number, head(200, {
                "Request-Id": number, "Server-Stamp": self.make_stamp(),
                "Content-Type": "text/event-stream",
                "Content-Length": len(body)}) + body


async def send(world, front, number, counts, record):
    """Sends one stream request; returns whether its answer may stand."""
    answer = await ask(
        *world.address(front, "front"), "POST", "/lohu930/2f", b"{}",
        {"Request-Id": number, "Model": MODEL, "Token-Counts": "646,70",
         "Prompt-Prefix": f"5c1e07a2:155,{number}:491",
         "Request-Deadline": "6000"}, 6.5, host=HOST)
    status = answer.status if answer else "no answer"
    if answer and status == 200 and not answer.is_whole:
        status = "cut in the answer"
    counts[status] = counts.get(status, 0) + 1
    if status != 200:
        record.add(f"{number} at {front.name} -> {status}")
        return True
    stamp = answer.headers.get("server-stamp")
    is_own = answer.body == expected_stream(number)
    if stamp and is_own:
        return True
    record.say(f"MIXED: {number} at {front.name} -> 200, Server-Stamp {stamp},"
               f" body {answer.body[:160]!r}")
    return False


async def case(record, has_trouble):
    world = Deployment(record)
    runners = []
    try:
        world.start()
        reports_to = [world.address(core, "control") for core in world.controls]
        models = [{"name": MODEL, "version": 1, "adapters": []}]
        runners += [
            SurplusRunner(record, reports_to, "huvo11a", f"i-{n}", "v1",
                          models=models)
            for n in range(SERVERS)
        ]
        stream = route("r-zji9n73", "/lohu930/", "huvo11a", "stream", 6000, 600,
                       session_affinity=True, resumable=True,
                       gap_target_ms=400)
        config = document(7, [stream], [service("huvo11a", engine())])
        if await world.put(config) is None:
            raise CannotRunError("the configuration wasn't acknowledged")
        for runner in runners:
            await runner.start()
        await world.wait_ready()
        await asyncio.sleep(2.0)
        numbers, counts, held = itertools.count(1), {}, True
        for wave in range(WAVES):
            now = asyncio.get_running_loop().time()
            if wave == RELEASE_WAVE - 3:
                for runner in runners[:GARBLING_SERVERS]:
                    runner.garbles = has_trouble
                record.say(f"garble: {has_trouble}")
            if wave == RELEASE_WAVE - 3 + SECONDS / WAVE_SECONDS:
                for runner in runners:
                    runner.garbles = False
            if wave == RELEASE_WAVE:
                newer = SurplusRunner(record, reports_to, "huvo11a", "i-new",
                                      "v2", models=models)
                runners.append(newer)
                await newer.start()
                record.say("a server of version v2 starts")
                await asyncio.sleep(0.4)
            tasks = [
                send(world, front, f"{next(numbers):016x}", counts, record)
                for _ in range(WAVE_REQUESTS) for front in world.fronts
            ]
            held &= all(await asyncio.gather(*tasks))
            left = now + WAVE_SECONDS - asyncio.get_running_loop().time()
            await asyncio.sleep(max(left, 0.0))
        record.say(f"answers: {counts}")
        if counts.get(200, 0) < 0.8 * sum(counts.values()):
            raise CannotRunError("too few requests were served")
        return held
    finally:
        for runner in runners:
            runner.stop()
        world.close()


if __name__ == "__main__":
    run_case(FOLDER, case)
