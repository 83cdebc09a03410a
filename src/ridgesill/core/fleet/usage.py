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
    """Requests in progress by upstream and artifact, from all fronts.

    The sums are kept up to date with each report, since they are looked at
    far more often than fronts report.
    """

    def __init__(self) -> None:
        self._fronts: dict[str, _Front] = {}
        self._sums: dict[str, dict[str, int]] = {}

    @property
    def fronts(self) -> int:
        """How many fronts there are."""
        return len(self._fronts)

    def note(
        self, front: str, busy: dict[str, dict[str, int]], now: float
    ) -> None:
        """Notes what a front uses, in place of what it said before."""
        self._subtract(front)
        self._fronts[front] = _Front(now, busy)
        for name, using in busy.items():
            sums = self._sums.setdefault(name, {})
            for artifact, count in using.items():
                sums[artifact] = sums.get(artifact, 0) + count

    def _subtract(self, front: str) -> None:
        known = self._fronts.pop(front, None)
        if known is None:
            return
        for name, using in known.busy.items():
            sums = self._sums[name]
            for artifact, count in using.items():
                sums[artifact] -= count
                if sums[artifact] <= 0:
                    del sums[artifact]
            if not sums:
                del self._sums[name]

    def forget_silent(self, now: float) -> None:
        """Forgets fronts that say nothing any more."""
        for name, front in list(self._fronts.items()):
            if now - front.heard_at > _HEARD_SECONDS:
                self._subtract(name)

    def heard_since(self, at: float) -> bool:
        """Whether every front has reported after a moment."""
        return all(front.heard_at > at for front in self._fronts.values())

    def busy(self) -> dict[str, int]:
        """Returns requests in progress by upstream."""
        return {name: sum(using.values()) for name, using in self._sums.items()}

    def artifacts(self, upstream: str) -> set[str]:
        """Returns the artifacts in use on an upstream."""
        return set(self._sums.get(upstream, ()))
