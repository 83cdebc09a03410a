"""What fits in an engine: places for adapters, megabytes for all it holds.

An engine that is ordered over either falls, with all that runs there.
"""

from collections.abc import Collection, Sequence

from ridgesill.core.serving.routes import EngineSpec


def is_adapter(artifact: str) -> bool:
    """Whether an artifact is an adapter rather than a base model."""
    return "/" in artifact


def model_of(artifact: str) -> str:
    """Returns the base model of an artifact."""
    return artifact.partition("/")[0]


def count_adapters(artifacts: Collection[str]) -> int:
    """Returns the places that artifacts take; base models take none."""
    return sum(map(is_adapter, artifacts))


def total_weights_mb(spec: EngineSpec, artifacts: Collection[str]) -> float:
    """Returns the megabytes of artifacts; unknown models weigh nothing."""
    return sum(_weigh_one(spec, artifact) for artifact in artifacts)


def _weigh_one(spec: EngineSpec, artifact: str) -> float:
    model = spec.model(model_of(artifact))
    if model is None:
        return 0.0
    return model.adapter_mb if is_adapter(artifact) else model.weights_mb


def fits(spec: EngineSpec, artifacts: Collection[str]) -> bool:
    """Whether an engine can hold artifacts together."""
    if count_adapters(artifacts) > spec.adapter_slots:
        return False
    return (
        _holds_anything(spec)
        or total_weights_mb(spec, artifacts) <= spec.weights_mb
    )


def _holds_anything(spec: EngineSpec) -> bool:
    """Whether all models and full places fit, so that nothing need be weighed.

    Every want is weighed against every engine, and most have megabytes to
    spare.
    """
    adapters = max((model.adapter_mb for model in spec.models), default=0.0)
    models = sum(model.weights_mb for model in spec.models)
    return models + spec.adapter_slots * adapters <= spec.weights_mb


def fits_from_empty(spec: EngineSpec, chain: Sequence[Collection[str]]) -> bool:
    """Whether an empty engine has room for a chain of loads.

    Args:
        spec: of the engine.
        chain: the artifacts that may be loaded at each count of orders, of
            which one is.
    """
    together = set().union(*chain)
    if fits(spec, together):
        return True
    places = sum(any(map(is_adapter, loads)) for loads in chain)
    heaviest = sum(
        max((_weigh_one(spec, artifact) for artifact in loads), default=0.0)
        for loads in chain
    )
    return (
        min(places, count_adapters(together)) <= spec.adapter_slots
        and min(heaviest, total_weights_mb(spec, together)) <= spec.weights_mb
    )
