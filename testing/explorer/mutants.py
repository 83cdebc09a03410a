"""Mutants: each disables one safeguard, which schedules should detect."""

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
    """Each copy of an order names the order count known when it is sent.

    Upkeep also forgets the count while a report is due, and no order is held
    back because of late orders at following counts.
    """
    send_once = EngineOrders._send_once
    is_known = FleetUpkeep._is_known

    async def send(self: Any, order: Any, engine: Any, again: bool) -> Any:
        renumbered_order = attrs.evolve(order, revision=engine.revision)
        return await send_once(self, renumbered_order, engine, again)

    def forget_and_check(self: Any, engine: Any, now: float) -> bool:
        if engine.needs_report(now):
            engine.revision = None
        return is_known(self, engine, now)

    def is_order_safe(self: Any, action: Any, artifact: str, *_: Any) -> bool:
        return real_is_order_safe(self, action, artifact, -9, 0.0)

    real_is_order_safe = Engine.is_order_safe
    real_apply_verdict = EngineOrders._apply_verdict

    def apply_verdict(self: Any, engine: Any, order: Any, verdict: Any) -> None:
        # A count that has been forgotten meanwhile is not raised.
        if engine.revision is None:
            return
        real_apply_verdict(self, engine, order, verdict)

    with (
        mock.patch.object(EngineOrders, "_send_once", send),
        mock.patch.object(EngineOrders, "_apply_verdict", apply_verdict),
        mock.patch.object(FleetUpkeep, "_is_known", forget_and_check),
        mock.patch.object(Engine, "is_order_safe", is_order_safe),
    ):
        yield


@contextlib.contextmanager
def _no_look_before_it_leaves() -> Iterator[None]:
    """Orders are sent without a last check against the engine's capacity."""
    with mock.patch.object(Engine, "is_order_safe", lambda *_: True):
        yield


@contextlib.contextmanager
def _forget_the_unanswered() -> Iterator[None]:
    """Loads without an answer occupy no adapter slot or memory."""
    real = Engine.possible_artifacts

    def possible_artifacts(self: Any) -> set[str]:
        self.unanswered.clear()
        return real(self)

    with mock.patch.object(Engine, "possible_artifacts", possible_artifacts):
        yield


@contextlib.contextmanager
def _no_strays() -> Iterator[None]:
    """Orders that were sent to earlier starts of an engine are ignored."""
    with mock.patch.object(engines, "find_load_chain", lambda *_: []):
        yield


@contextlib.contextmanager
def _no_thought_of_a_next_start() -> Iterator[None]:
    """Orders are sent even if they could overfill a restarted engine."""
    with mock.patch.object(
        EngineOrders, "_is_safe_after_restart", lambda *_: True
    ):
        yield


@contextlib.contextmanager
def _no_starts() -> Iterator[None]:
    """Restarts of an engine under the same name go unnoticed."""

    def ignore_start(decode: Any) -> Callable[..., Any]:
        def read(body: bytes, shape: Any) -> Any:
            report = decode(body, shape)
            report.born = 0
            return report

        return read

    with mock.patch.object(
        upstreams, "_decode", ignore_start(upstreams._decode)
    ):
        yield


@contextlib.contextmanager
def _successor_trusts() -> Iterator[None]:
    """A new owner doesn't wait until orders of its predecessor have expired."""
    real = Registry.adopt

    def adopt(self: Any, known: Any, now: float) -> None:
        real(self, [attrs.evolve(u, has_strays=False) for u in known], now)

    with mock.patch.object(Registry, "adopt", adopt):
        yield


@contextlib.contextmanager
def _heartbeats_lower() -> Iterator[None]:
    """Heartbeats remove artifacts from what an engine possibly holds."""
    real = Engine.reconcile

    def reconcile(self: Any, resident: Any, now: float) -> Any:
        appeared = real(self, resident, now)
        self.unconfirmed.clear()
        return appeared

    with mock.patch.object(Engine, "reconcile", reconcile):
        yield


@contextlib.contextmanager
def _no_wait_for_a_report() -> Iterator[None]:
    """Reports are requested at once after a refusal or by a new owner."""
    with mock.patch.object(engine_orders, "_REPORT_LAG_SECONDS", 0.0):
        yield


@contextlib.contextmanager
def _newcomers_trusted() -> Iterator[None]:
    """A new owner without records sends orders to engines that just started."""
    with mock.patch.object(
        FleetEngines, "_may_have_started_recently", lambda *_: False
    ):
        yield


@contextlib.contextmanager
def _busy_reports_believed() -> Iterator[None]:
    """A report that was made while a base model loads is taken for complete."""
    with mock.patch.object(Engine, "_is_busy_explained", lambda _: True):
        yield


@contextlib.contextmanager
def _places_alone() -> Iterator[None]:
    """Engines are chosen by free adapter slots, regardless of free memory."""

    def fits(spec: Any, artifacts: Any) -> bool:
        return count_adapters(artifacts) <= spec.adapter_slots

    with mock.patch.object(engines, "fits", fits):
        yield


def apply_mutant(name: str) -> contextlib.AbstractContextManager[None]:
    """Returns a context manager that applies a mutant, or nothing for ''."""
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
