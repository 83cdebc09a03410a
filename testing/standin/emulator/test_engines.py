"""Tests of the emulated ways to engines."""

import asyncio
import inspect

import pytest

from ridgesill.adapters.http1 import client
from ridgesill.ports.http import MAX_DISCARDED_BYTES, ChannelError
from ridgesill.standin.emulator import engines
from ridgesill.standin.emulator.clock import run_on_virtual_clock

# Calls that only the real channels have: nothing is pooled in the emulator.
POOLING = {"close", "discard", "has_idle", "release"}


@pytest.mark.parametrize(
    ("real", "emulated"),
    [
        (client.Exchange, engines.EmulatedExchange),
        (client.UpstreamChannels, engines.EmulatedChannels),
    ],
)
def test_calls_are_those_of_the_real_class(real: type, emulated: type) -> None:
    for name, method in inspect.getmembers(real, inspect.isfunction):
        if name.startswith("_") or name in POOLING:
            continue
        wanted = inspect.signature(method).parameters.values()
        given = inspect.signature(getattr(emulated, name)).parameters.values()
        assert [(p.name, p.kind, p.default) for p in given] == [
            (p.name, p.kind, p.default) for p in wanted
        ]


def test_bodies_beyond_their_bound_are_an_error() -> None:
    async def read() -> None:
        exchange = engines.EmulatedExchange("10.0.0.1:80", 0.01)
        exchange.send_whole(200, b"12345")
        await exchange.read_head()
        with pytest.raises(ChannelError, match="longer than 4 bytes"):
            await exchange.read_rest(4)

    run_on_virtual_clock(read())


def test_long_bodies_that_nobody_needs_are_cancelled() -> None:
    async def discard() -> list[str]:
        cancelled: list[str] = []
        exchange = engines.EmulatedExchange("10.0.0.1:80", 0.01)
        exchange.on_cancel = lambda: cancelled.append("upstream")
        exchange._send(b"x" * (MAX_DISCARDED_BYTES + 1))
        await exchange.discard_rest()
        exchange.cancel()
        await asyncio.sleep(0.02)
        return cancelled

    assert run_on_virtual_clock(discard()) == ["upstream"]
