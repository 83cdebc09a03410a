"""Rendezvous hashing: all processes rank the same candidates equally."""

from collections.abc import Iterable

import xxhash


def _weigh(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates by descending weight for a key.

    Adding or removing a candidate does not change the order of the others.
    """
    return sorted(
        candidates,
        key=lambda name: (_weigh(key, name), name),
        reverse=True,
    )
