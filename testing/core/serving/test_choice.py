"""Tests of choice by pace, and around upstreams ejected for all fronts."""

import collections
import hashlib
import random

import attrs
import pytest

from ridgesill.core.fleet.messages import FleetNews, Upstream
from ridgesill.core.fleet.messages import UpstreamChange as Change
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.serving.choice import Chooser, Requirements
from ridgesill.core.serving.outcomes import Outcomes

PLAIN = Requirements("s")
ENGINE = Requirements("s", "m/a")


def make_chooser(
    *upstreams: Upstream, fronts: int = 59, seed: int = 1
) -> Chooser:
    """Returns the chooser of a front in data centre `a`."""
    view = FleetView()
    changes = tuple(Change(u.name, u) for u in upstreams)
    news = FleetNews(1, 1, True, changes, fronts=fronts)
    view.apply_news(news, 0.0)
    return Chooser("a", view, Outcomes(), random.Random(seed))


def make_upstreams(count: int, ejected: int = 0) -> list[Upstream]:
    """Returns upstreams `u0`, `u1` and so on; the first ones are ejected."""
    return [
        Upstream(
            f"u{n}",
            "s",
            f"10.0.0.{n}:80",
            "a",
            6,
            resident={"m/a": 1},
            is_ejected=n < ejected,
        )
        for n in range(count)
    ]


class TestUnchangedChoices:
    @pytest.mark.parametrize(
        ("requirements", "digest", "next_draw"),
        [
            (PLAIN, "18c1a6650702fb36", 0.08482036703105456),
            (ENGINE, "90f7d1c257668fa7", 0.8236474925104211),
        ],
    )
    def test_choices_are_as_before_ejections_and_paces(
        self, requirements: Requirements, digest: str, next_draw: float
    ) -> None:
        # Guards the existing deployments: both values are those of the code
        # without ejections and paces, at commit 22ce69f.
        upstreams = [
            attrs.evolve(u, data_centre="abc"[n % 3])
            for n, u in enumerate(make_upstreams(6))
        ]
        chooser = make_chooser(*upstreams, fronts=5, seed=3)
        rng = random.Random(4)
        in_progress: list[str] = []
        choices = ""
        for n in range(600):
            now = n / 50
            if n % 10 == 0:
                chooser.view.busy = {
                    u.name: rng.randrange(9) for u in upstreams
                }
                chooser.update_means(now)
            while len(in_progress) > rng.randrange(4, 20):
                chooser.record_end(in_progress.pop(0), requirements.artifact)
            avoid = ("u1",) if n % 7 == 0 else ()
            chosen = chooser.choose(
                requirements, avoid, now, is_repeatable=n % 2 == 0
            )
            assert chosen is not None
            choices += chosen.name[1:]
            chooser.record_start(chosen.name, requirements.artifact)
            in_progress.append(chosen.name)
            if n % 40 == 5:
                chooser.outcomes.record_failure(chosen.name, now)
        assert hashlib.sha256(choices.encode()).hexdigest()[:16] == digest
        assert chooser._rng.random() == next_draw


class TestPace:
    @pytest.mark.parametrize("requirements", [PLAIN, ENGINE])
    def test_slow_upstreams_get_less_of_the_load(
        self, requirements: Requirements
    ) -> None:
        # Load pattern: 30 requests in progress at four upstreams, one of which
        # takes 2.5 times as long.
        slow, *others = make_upstreams(4)
        chooser = make_chooser(attrs.evolve(slow, pace=2.5), *others, fronts=1)
        counts: collections.Counter[str] = collections.Counter()
        for _ in range(30):
            chosen = chooser.choose(requirements, (), 0.0)
            assert chosen is not None
            chooser.record_start(chosen.name, requirements.artifact)
            counts[chosen.name] += 1
        assert 2 <= counts["u0"] <= 5
        assert min(counts[u.name] for u in others) >= 7


class TestEjections:
    def test_a_request_that_is_not_repeatable_is_never_a_probe(self) -> None:
        chooser = make_chooser(*make_upstreams(4, ejected=2))
        probes = 0
        for n in range(2000):
            probe = chooser.choose(PLAIN, (), n / 10, is_repeatable=True)
            probes += probe is not None and probe.is_ejected
            chosen = chooser.choose(PLAIN, (), n / 10)
            assert chosen is not None
            assert not chosen.is_ejected
        assert probes

    def test_a_retry_is_never_a_probe(self) -> None:
        # Full upstreams have rejected the request. It would be lost if it was
        # sent to the ejected one instead of being refused.
        chooser = make_chooser(*make_upstreams(3, ejected=1), fronts=2)
        for n in range(200):
            chooser.choose(PLAIN, (), n / 10, is_repeatable=True)
            args = (PLAIN, ("u1", "u2"), n / 10)
            assert chooser.choose(*args, is_repeatable=True) is None

    def test_ejected_upstreams_are_used_if_no_other_one_is_usable(self) -> None:
        chooser = make_chooser(*make_upstreams(2, ejected=1))
        chooser.unavailable.record_rest("u1", 9.0)
        chosen = chooser.choose(PLAIN, (), 0.0)
        assert chosen is not None
        assert chosen.name == "u0"

    @pytest.mark.parametrize("requests", [100.0, 250.0])
    @pytest.mark.parametrize("fronts", [6, 74, 330])
    def test_all_fronts_send_two_probes_a_second(
        self, fronts: int, requests: float
    ) -> None:
        # Load pattern: 100 or 250 repeatable requests a second, unevenly over
        # the fronts, as a balancer that hashes clients' addresses spreads
        # them. Each front that probes at its own interval loses 40 a second.
        upstreams = make_upstreams(4, ejected=2)
        choosers = [
            make_chooser(*upstreams, fronts=fronts, seed=n)
            for n in range(fronts)
        ]
        weights = [1.0 + n % 4 for n in range(fronts)]
        rng = random.Random(1)
        counts: collections.Counter[str] = collections.Counter()
        now = 0.0
        while (now := now + rng.expovariate(requests)) < 60.0:
            chooser = rng.choices(choosers, weights)[0]
            chosen = chooser.choose(PLAIN, (), now, is_repeatable=True)
            assert chosen is not None
            if now >= 10.0:
                counts[chosen.name] += 1
        for name in ("u0", "u1"):
            assert 1.5 < counts[name] / 50.0 < 2.5

    def test_most_requests_are_served_where_there_are_few(self) -> None:
        chooser = make_chooser(*make_upstreams(4, ejected=2), fronts=6)
        chosen = [
            chooser.choose(PLAIN, (), n * 5.0, is_repeatable=True)
            for n in range(300)
        ]
        assert sum(c is not None and c.is_ejected for c in chosen) < 180
