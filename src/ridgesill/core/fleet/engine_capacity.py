"""What fits in an engine: adapters by slots, all artifacts by megabytes.

An engine that is ordered to load more than fits crashes, and all requests on it
are lost.
"""

from collections.abc import Collection, Sequence

from ridgesill.core.serving.routes import EngineSpec


def is_adapter(artifact: str) -> bool:
    """Returns whether an artifact is an adapter rather than a base model."""
    return "/" in artifact


def model_of(artifact: str) -> str:
    """Returns the base model of an artifact."""
    return artifact.partition("/")[0]


def count_adapters(artifacts: Collection[str]) -> int:
    """Returns the number of adapter slots that artifacts take."""
    return sum(map(is_adapter, artifacts))


def total_weights_mb(spec: EngineSpec, artifacts: Collection[str]) -> float:
    """Returns the memory that artifacts take, in megabytes.

    Artifacts of a model that the specification lacks count as 0.
    """
    return sum(_artifact_mb(spec, artifact) for artifact in artifacts)


def _artifact_mb(spec: EngineSpec, artifact: str) -> float:
    """Returns the memory that one artifact takes, in megabytes."""
    model = spec.model(model_of(artifact))
    if model is None:
        return 0.0
    return model.adapter_mb if is_adapter(artifact) else model.weights_mb


def fits(spec: EngineSpec, artifacts: Collection[str]) -> bool:
    """Returns whether an engine can hold a set of artifacts together."""
    if count_adapters(artifacts) > spec.adapter_slots:
        return False
    return (
        _fits_any_combination(spec)
        or total_weights_mb(spec, artifacts) <= spec.weights_mb
    )


def _fits_any_combination(spec: EngineSpec) -> bool:
    """Returns whether all models and full adapter slots fit in memory.

    This holds for most engines and saves summing the megabytes for every pair
    of a request and an engine.
    """
    adapters = max((model.adapter_mb for model in spec.models), default=0.0)
    models = sum(model.weights_mb for model in spec.models)
    return models + spec.adapter_slots * adapters <= spec.weights_mb


def fits_from_empty(spec: EngineSpec, chain: Sequence[Collection[str]]) -> bool:
    """Returns whether an empty engine can hold what a chain of loads brings.

    Args:
        spec: the capacity of the engine.
        chain: for each order count the artifacts of which at most one is
            loaded.
    """
    all_loads = set().union(*chain)
    if fits(spec, all_loads):
        return True
    adapters = sum(any(map(is_adapter, loads)) for loads in chain)
    heaviest = sum(
        max((_artifact_mb(spec, artifact) for artifact in loads), default=0.0)
        for loads in chain
    )
    return (
        min(adapters, count_adapters(all_loads)) <= spec.adapter_slots
        and min(heaviest, total_weights_mb(spec, all_loads)) <= spec.weights_mb
    )
