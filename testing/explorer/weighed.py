"""Engines that load base models too, and count megabytes."""

from typing import Any

import attrs

from ridgesill.core.serving.routes import (
    EngineSpec,
    Model,
    RouteTable,
    Service,
)
from testing.app.engine_world import SimulatedEngine

MODELS = ("base", "other")
_MODEL_MB = {"base": 1000.0, "other": 400.0}
_ADAPTER_MB = 50.0
# Both models and two adapters, or one model and as many as there are places.
_ROOM_MB = 1500.0
_MODEL_SECONDS = 0.6
_BAD_REQUEST = 400
_CONFLICT = 409


@attrs.define
class WeighedEngine(SimulatedEngine):
    """An engine that starts without a model.

    Adapters are named with their model here, as `base/a1`.

    Attributes:
        models: that it holds.
        loading_model: that is on its way; meanwhile it takes no other order.
        model_at: when that is there, in seconds.
    """

    models: set[str] = attrs.Factory(set)
    loading_model: str = ""
    model_at: float = 0.0

    def complete_due(self, now: float) -> None:
        """Lets loads and unloads end that are due."""
        if self.loading_model and now >= self.model_at:
            self.models.add(self.loading_model)
            self.loading_model = ""
        super().complete_due(now)

    def handle_order(self, body: dict[str, Any], now: float) -> int:
        """Carries out an order; returns the status of its answer."""
        self.complete_due(now)
        model, adapter = body["model"], body.get("adapter")
        if body.get("expected_revision") not in (None, self.taken):
            return _CONFLICT
        if not adapter:
            return self._order_model(model, now)
        if model not in self.models:
            return _BAD_REQUEST
        if self.loading_model:
            return _CONFLICT
        status = super().handle_order(
            {**body, "adapter": f"{model}/{adapter}"}, now
        )
        self.is_overfull = self.is_overfull or self._weight() > _ROOM_MB
        return status

    def _order_model(self, model: str, now: float) -> int:
        if model == self.loading_model:
            return 202
        if model in self.models:
            return 200
        if self.loading_model or self.blocking_artifact:
            return _CONFLICT
        self.taken += 1
        self.loading_model = model
        self.model_at = now + _MODEL_SECONDS
        self.is_overfull = self.is_overfull or self._weight() > _ROOM_MB
        return 202

    def _weight(self) -> float:
        models = {*self.models, self.loading_model} - {""}
        adapters = self.held.keys() | self.incoming.keys()
        weights = sum(_MODEL_MB[model] for model in models)
        return weights + _ADAPTER_MB * len(adapters)

    def list_models(self) -> list[dict[str, Any]]:
        """Returns what it holds as its reports and heartbeats say it."""
        return [
            {
                "name": model,
                "version": 1,
                "adapters": [
                    f"{artifact.partition('/')[2]}@1"
                    for artifact in sorted(self.held)
                    if artifact.startswith(f"{model}/")
                ],
            }
            for model in sorted(self.models)
        ]

    def describe(self) -> dict[str, Any]:
        """Returns what it would say of itself without delay."""
        return {
            "sequence": self.taken,
            "busy_slots": bool(self.blocking_artifact or self.loading_model),
            "models": self.list_models(),
            "incoming": [f"{artifact}@1" for artifact in self.incoming],
        }

    def artifacts(self) -> set[str]:
        """Returns all that it holds."""
        return {*self.models, *self.held}

    def artifact(self, adapter: str) -> str:
        """Returns what others call one of its adapters."""
        return adapter


def make_weighed_table(service: str, places: int) -> RouteTable:
    """Returns a configuration with two models on engines with little room."""
    models = tuple(
        Model(name, megabytes, 1.0, 99, _ADAPTER_MB)
        for name, megabytes in _MODEL_MB.items()
    )
    spec = EngineSpec(8, _ROOM_MB, places, 4.0, models)
    return RouteTable(1, [], [Service(service, "/", 0, spec)])
