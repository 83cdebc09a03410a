"""What fronts say they are using, added up."""

import attrs

# After this long without word a front counts as gone, in seconds; it asks at
# least twice a second.
_HEARD_SECONDS = 2.0


@attrs.define
class _Front:
    heard_at: float
    busy: dict[str, dict[str, int]]


class Usage:
    """Requests in progress by upstream and artifact, from all fronts."""

    def __init__(self) -> None:
        self._fronts: dict[str, _Front] = {}

    @property
    def fronts(self) -> int:
        """How many fronts there are."""
        return len(self._fronts)

    def note(
        self, front: str, busy: dict[str, dict[str, int]], now: float
    ) -> None:
        """Notes what a front uses, in place of what it said before."""
        self._fronts[front] = _Front(now, busy)

    def forget_silent(self, now: float) -> None:
        """Forgets fronts that say nothing any more."""
        for name, front in list(self._fronts.items()):
            if now - front.heard_at > _HEARD_SECONDS:
                del self._fronts[name]

    def busy(self) -> dict[str, int]:
        """Returns requests in progress by upstream."""
        totals: dict[str, int] = {}
        for front in self._fronts.values():
            for name, using in front.busy.items():
                totals[name] = totals.get(name, 0) + sum(using.values())
        return totals

    def artifacts(self, upstream: str) -> set[str]:
        """Returns the artifacts in use on an upstream."""
        using: set[str] = set()
        for front in self._fronts.values():
            using.update(front.busy.get(upstream, ()))
        return using
