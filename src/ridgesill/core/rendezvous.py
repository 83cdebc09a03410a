"""Rendezvous hashing: every process ranks the same candidates alike."""

from collections.abc import Iterable

import xxhash


def _weigh(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates, the one that a key belongs to first."""
    return sorted(
        candidates,
        key=lambda name: (_weigh(key, name), name),
        reverse=True,
    )
