"""Takes one mend out of the code, to show that schedules find its fault."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import attrs

from ridgesill.app import engine_orders
from ridgesill.app.engine_orders import EngineOrders
from ridgesill.app.fleet_engines import FleetEngines
from ridgesill.app.fleet_upkeep import FleetUpkeep
from ridgesill.core.fleet import engines
from ridgesill.core.fleet.engine_capacity import count_adapters
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.registry import Registry
from ridgesill.platform import upstreams


@contextlib.contextmanager
def _count_of_each_copy() -> Iterator[None]:
    """Copies name the count known as each leaves, which upkeep may forget."""
    send_once = EngineOrders._send_once
    is_known = FleetUpkeep._is_known

    async def send(self: Any, wanted: Any, engine: Any, again: bool) -> Any:
        named = attrs.evolve(wanted, revision=engine.revision)
        return await send_once(self, named, engine, again)

    def forget(self: Any, engine: Any, now: float) -> bool:
        if engine.needs_report(now):
            engine.revision = None
        return is_known(self, engine, now)

    def may_order(self: Any, action: Any, artifact: str, *_: Any) -> bool:
        return real_may_order(self, action, artifact, -9, 0.0)

    real_may_order = Engine.is_order_safe
    real_note = EngineOrders._apply_verdict

    def note(self: Any, engine: Any, wanted: Any, verdict: Any) -> None:
        # A count that was forgotten meanwhile isn't moved.
        if engine.revision is None:
            return
        real_note(self, engine, wanted, verdict)

    with (
        mock.patch.object(EngineOrders, "_send_once", send),
        mock.patch.object(EngineOrders, "_apply_verdict", note),
        mock.patch.object(FleetUpkeep, "_is_known", forget),
        mock.patch.object(Engine, "is_order_safe", may_order),
    ):
        yield


@contextlib.contextmanager
def _no_look_before_it_leaves() -> Iterator[None]:
    """What a report told since the choice doesn't keep an order back."""
    with mock.patch.object(Engine, "is_order_safe", lambda *_: True):
        yield


@contextlib.contextmanager
def _forget_the_unanswered() -> Iterator[None]:
    """Loads without an answer take no place."""
    real = Engine.possible_artifacts

    def possible_artifacts(self: Any) -> set[str]:
        self.unanswered.clear()
        return real(self)

    with mock.patch.object(Engine, "possible_artifacts", possible_artifacts):
        yield


@contextlib.contextmanager
def _no_strays() -> Iterator[None]:
    """What earlier starts were ordered isn't reckoned with."""
    with mock.patch.object(engines, "find_load_chain", lambda *_: []):
        yield


@contextlib.contextmanager
def _no_thought_of_a_next_start() -> Iterator[None]:
    """What a next start may carry out by itself isn't reckoned with."""
    with mock.patch.object(
        EngineOrders, "_is_safe_after_restart", lambda *_: True
    ):
        yield


@contextlib.contextmanager
def _no_starts() -> Iterator[None]:
    """Starts under one name aren't told apart."""

    def blind(decode: Any) -> Callable[..., Any]:
        def read(body: bytes, shape: Any) -> Any:
            said = decode(body, shape)
            said.born = 0
            return said

        return read

    with mock.patch.object(upstreams, "_decode", blind(upstreams._decode)):
        yield


@contextlib.contextmanager
def _successor_trusts() -> Iterator[None]:
    """A successor doesn't wait for what its predecessor ordered."""
    real = Registry.adopt

    def adopt(self: Any, known: Any, now: float) -> None:
        real(self, [attrs.evolve(u, has_strays=False) for u in known], now)

    with mock.patch.object(Registry, "adopt", adopt):
        yield


@contextlib.contextmanager
def _heartbeats_lower() -> Iterator[None]:
    """Heartbeats take from what an engine may hold."""
    real = Engine.reconcile

    def reconcile(self: Any, resident: Any, now: float) -> Any:
        said = real(self, resident, now)
        self.unconfirmed.clear()
        return said

    with mock.patch.object(Engine, "reconcile", reconcile):
        yield


@contextlib.contextmanager
def _no_wait_for_a_report() -> Iterator[None]:
    """A report is asked for at once after a refusal or by a new owner."""
    with mock.patch.object(engine_orders, "_REPORT_LAG_SECONDS", 0.0):
        yield


@contextlib.contextmanager
def _newcomers_trusted() -> Iterator[None]:
    """A successor that knew nobody orders engines that began just now."""
    with mock.patch.object(
        FleetEngines, "_may_have_started_recently", lambda *_: False
    ):
        yield


@contextlib.contextmanager
def _busy_reports_believed() -> Iterator[None]:
    """A report made while a base model loads tells all that is there."""
    with mock.patch.object(Engine, "_is_busy_explained", lambda _: True):
        yield


@contextlib.contextmanager
def _places_alone() -> Iterator[None]:
    """Engines are chosen by free places, however few megabytes are left."""

    def fits(spec: Any, artifacts: Any) -> bool:
        return count_adapters(artifacts) <= spec.adapter_slots

    with mock.patch.object(engines, "fits", fits):
        yield


def take_out(name: str) -> contextlib.AbstractContextManager[None]:
    """Returns what takes a mend out for a while; nothing for no name."""
    return MUTANTS[name]() if name else contextlib.nullcontext()


MUTANTS: dict[str, Callable[[], contextlib.AbstractContextManager[None]]] = {
    "count-of-each-copy": _count_of_each_copy,
    "no-look-before-it-leaves": _no_look_before_it_leaves,
    "forget-the-unanswered": _forget_the_unanswered,
    "no-strays": _no_strays,
    "no-thought-of-a-next-start": _no_thought_of_a_next_start,
    "no-starts": _no_starts,
    "successor-trusts": _successor_trusts,
    "newcomers-trusted": _newcomers_trusted,
    "busy-reports-believed": _busy_reports_believed,
    "places-alone": _places_alone,
    "heartbeats-lower": _heartbeats_lower,
    "no-wait-for-a-report": _no_wait_for_a_report,
}
