"""A service whose upstreams run several software versions side by side.

Upstreams write their version into each event and break streams off; releases
go on while streams run. Clients take their streams up at any front.
"""

import asyncio
import random
from collections.abc import Callable

import attrs

from testing.app.front_world import Call, Client
from testing.platform_world import ROUTE_HOST
from testing.soak.upstreams import Ledger, SoakUpstream

VERSIONED = "versioned"
_EVENTS = 8
_EVENT_SECONDS = 0.03
_BROKEN_SHARE = 0.3
# Tries of a client for one stream, and for how long it waits for events.
_TRIES = 3
_SILENCE_SECONDS = 2.0
# Pause before a stream is taken up: the time to connect to another front.
_TAKE_UP_PAUSE_SECONDS = 0.05
_UPSTREAMS = 4
_NOT_RUN = "Not-Run: 1"


@attrs.define
class StreamRecord:
    """A stream over its client's tries.

    Attributes:
        request: id of the first try.
        versions: the version that wrote each event, in order.
        takes: tries to take it up, after its first event.
        gone_on: how many of these brought further events.
        is_whole: whether all of it arrived.
    """

    request: str
    versions: list[str] = attrs.Factory(list)
    takes: int = 0
    gone_on: int = 0
    is_whole: bool = False


class VersionedUpstream(SoakUpstream):
    """A plain service that streams events with its software version."""

    def __init__(
        self, ledger: Ledger, controls: list[str], rng: random.Random
    ) -> None:
        self._born = 1_700_000_000_000
        # Share of the streams that it breaks off after some events.
        self.broken_share = _BROKEN_SHARE
        super().__init__(VERSIONED, ledger, controls, rng)

    def _engine_fields(self) -> dict[str, int]:
        return {"born": self._born}

    async def release(self, software: str, *, keeps_name: bool) -> None:
        """Restarts it with other software.

        Args:
            software: the version that it runs then.
            keeps_name: whether it starts again under the same identifier, at
                the same address.
        """
        self.crash()
        name, address = self.name, self.address
        self._begin_incarnation()
        self._born += 1000
        self.software = software
        if keeps_name:
            self.name = name
            await self._listen(int(address.rpartition(":")[2]))
        else:
            await self.start()

    async def _serve(self, call: Call) -> None:
        if call.header("expect-instance") not in ("", self.name):
            await call.answer(421, b"", _NOT_RUN)
            return
        if call.head.split(" ")[1] == "/ridgesill/report":
            report = b'{"sequence": 0, "born": %d}' % self._born
            await self._repeat_last_answer(call, report)
            await call.answer(200, report)
            return
        await self._repeat_last_answer(call, b"a second answer")
        last = int(call.header("last-event-id") or 0)
        breaks_at = 0
        if last < _EVENTS and self._rng.random() < self.broken_share:
            breaks_at = self._rng.randint(last + 1, _EVENTS)
        await call.begin_stream("Server-Stamp: s")
        for number in range(last + 1, _EVENTS + 1):
            await asyncio.sleep(_EVENT_SECONDS)
            data = b"id: %d\ndata: %s\n\n" % (number, self.software.encode())
            await call.send(b"%x\r\n%s\r\n" % (len(data), data))
            if number == breaks_at:
                call.reset()
                return
        await call.end_stream()


class StreamClient:
    """Reads streams, and takes up those that break off at any front.

    Args:
        name: prefix of its request ids.
        addresses: returns the addresses of the fronts.
        rng: chooses the fronts.
        records: gets a record of each stream.
        choose_key: returns the key for a stream.
    """

    def __init__(
        self,
        name: str,
        addresses: Callable[[], list[str]],
        rng: random.Random,
        records: list[StreamRecord],
        choose_key: Callable[[], str],
    ) -> None:
        self._name = name
        self._addresses = addresses
        self._rng = rng
        self._records = records
        self._choose_key = choose_key
        self._count = 0

    async def run(self) -> None:
        """Reads streams until cancelled."""
        while True:
            await self.read_stream()
            await asyncio.sleep(self._rng.uniform(0.0, 0.1))

    async def read_stream(self) -> StreamRecord:
        """Reads one stream over several tries."""
        self._count += 1
        record = StreamRecord(f"{self._name}-{self._count}")
        self._records.append(record)
        key = self._choose_key()
        first_try = ""
        for number in range(_TRIES):
            known = len(record.versions)
            record.takes += bool(known)
            request = f"{record.request}-{number}"
            record.is_whole = await self._try(record, request, first_try, key)
            if len(record.versions) > known:
                record.gone_on += bool(known)
                first_try = first_try or request
            if record.is_whole:
                break
            await asyncio.sleep(_TAKE_UP_PAUSE_SECONDS)
        return record

    async def _try(
        self, record: StreamRecord, request: str, first_try: str, key: str
    ) -> bool:
        """Makes one try; returns whether the stream is whole then."""
        host, _, port = self._rng.choice(self._addresses()).rpartition(":")
        headers = {
            "host": ROUTE_HOST,
            "request_id": request,
            "request_deadline": "2500",
            "credential": key,
        }
        if record.versions:
            headers["resumes"] = first_try
            headers["last_event_id"] = str(len(record.versions))
        try:
            async with asyncio.timeout(_SILENCE_SECONDS):
                client = Client(*await asyncio.open_connection(host, int(port)))
        except (OSError, TimeoutError):
            return False
        try:
            await client.send(f"/{VERSIONED}/x", **headers)
            return await self._read_events(client.reader, record)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        finally:
            client.close()

    async def _read_events(
        self, reader: asyncio.StreamReader, record: StreamRecord
    ) -> bool:
        """Reads events as they come; returns whether the answer is whole."""
        async with asyncio.timeout(_SILENCE_SECONDS):
            head = await reader.readuntil(b"\r\n\r\n")
        if head.split()[1] != b"200":
            return False
        while True:
            async with asyncio.timeout(_SILENCE_SECONDS):
                line = await reader.readuntil(b"\n")
            if line == b"0\r\n":
                return len(record.versions) == _EVENTS
            if line.startswith(b"data: "):
                record.versions.append(line[6:].strip().decode())


async def run_releases(
    upstreams: list[VersionedUpstream], rng: random.Random
) -> None:
    """Replaces the software of upstreams, one after the other.

    Two versions serve side by side nearly all the time.
    """
    number = 1
    while True:
        number += 1
        for upstream in rng.sample(upstreams, len(upstreams)):
            await asyncio.sleep(rng.uniform(0.3, 1.5))
            await upstream.release(f"v{number}", keeps_name=rng.random() < 0.5)


def list_mixed(records: list[StreamRecord]) -> list[str]:
    """Returns the streams whose events are of several versions."""
    return [
        f"{record.request}: {record.versions}"
        for record in records
        if len(set(record.versions)) > 1
    ]


def make_upstreams(
    ledger: Ledger, controls: list[str], seed: int
) -> list[VersionedUpstream]:
    """Returns the upstreams of the service, which all run the first version."""
    made = [
        VersionedUpstream(ledger, controls, random.Random(f"{n} v {seed}"))
        for n in range(_UPSTREAMS)
    ]
    for upstream in made:
        upstream.software = "v1"
    return made
