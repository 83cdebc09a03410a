"""Simulated engines that load base models and have limited memory."""

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
# Fits both models and two adapters, or one model and an adapter in each slot.
_MEMORY_MB = 1500.0
_MODEL_SECONDS = 0.6
_BAD_REQUEST = 400
_CONFLICT = 409


@attrs.define
class MemoryLimitedEngine(SimulatedEngine):
    """Simulates an engine that starts without a base model.

    Its adapters are named with their model, such as `base/a1`.

    Attributes:
        models: the base models that it holds.
        loading_model: the base model being loaded, empty for none. Meanwhile
            the engine refuses every other order.
        model_ready_at: when that load completes, in seconds.
    """

    models: set[str] = attrs.Factory(set)
    loading_model: str = ""
    model_ready_at: float = 0.0

    def complete_due(self, now: float) -> None:
        """Completes loads and unloads that are due."""
        if self.loading_model and now >= self.model_ready_at:
            self.models.add(self.loading_model)
            self.loading_model = ""
        super().complete_due(now)

    def handle_order(self, body: dict[str, Any], now: float) -> int:
        """Executes an order; returns the HTTP status of the answer."""
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
        self.is_overfull = self.is_overfull or self._used_mb() > _MEMORY_MB
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
        self.model_ready_at = now + _MODEL_SECONDS
        self.is_overfull = self.is_overfull or self._used_mb() > _MEMORY_MB
        return 202

    def _used_mb(self) -> float:
        models = {*self.models, self.loading_model} - {""}
        adapters = self.held.keys() | self.incoming.keys()
        models_mb = sum(_MODEL_MB[model] for model in models)
        return models_mb + _ADAPTER_MB * len(adapters)

    def list_models(self) -> list[dict[str, Any]]:
        """Returns the models that it holds in the form of a heartbeat."""
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
        """Returns its current state in the form of a report."""
        return {
            "sequence": self.taken,
            "busy_slots": bool(self.blocking_artifact or self.loading_model),
            "models": self.list_models(),
            "incoming": [f"{artifact}@1" for artifact in self.incoming],
        }

    def artifacts(self) -> set[str]:
        """Returns the names of all artifacts that it holds."""
        return {*self.models, *self.held}

    def artifact(self, adapter: str) -> str:
        """Returns the artifact name of an adapter, which contains its model."""
        return adapter


def make_memory_limited_table(service: str, adapter_slots: int) -> RouteTable:
    """Returns a configuration of two models and engines with little memory."""
    models = tuple(
        Model(name, megabytes, 1.0, 99, _ADAPTER_MB)
        for name, megabytes in _MODEL_MB.items()
    )
    spec = EngineSpec(8, _MEMORY_MB, adapter_slots, 4.0, models)
    return RouteTable(1, [], [Service(service, "/", 0, spec)])
