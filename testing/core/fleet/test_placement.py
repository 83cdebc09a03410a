"""Tests of which adapters a customer above its fair share evicts."""

from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.load_shares import LoadShares, SlotClaim
from ridgesill.core.fleet.placement import Demand, LoadTarget, Placement
from ridgesill.core.serving.routes import EngineSpec, Model

SPEC = EngineSpec(8, 1e6, 3, 24.0, (Model("m", 1000.0, 1.0, 99, 1.0),))
DEMAND = Demand({}, lambda _engine: set(), lambda _at: True)


def choose(
    uses: dict[str, str],
    popular: str,
    claim: SlotClaim | None = None,
    engines: int = 1,
) -> LoadTarget | None:
    """Returns where a new adapter is loaded on full engines.

    Args:
        uses: the customer of each adapter that is held, three for each engine.
        popular: an adapter that is requested more often than others.
        claim: what may be evicted.
        engines: number of engines.
    """
    placement = Placement()
    placement.record_requests({**dict.fromkeys(uses, 1), popular: 9}, 0.0)
    held = list(uses)
    created = []
    for number in range(engines):
        engine = Engine(f"e{number}", "", "a", SPEC, has_holder=True)
        own = held[3 * number : 3 * number + 3]
        engine.apply_resident({"m": 1, **dict.fromkeys(own, 1)})
        created.append(engine)
    snapshot = placement.take_snapshot(created, DEMAND, 1.0)
    return snapshot.choose("m/new", claim=claim)


def make_claim(uses: dict[str, str]) -> SlotClaim:
    """Returns the claim of the hot customer after these uses."""
    shares = LoadShares({})
    for artifact, customer in uses.items():
        shares.record_use(artifact, customer, 0.0)
    return shares.make_claim("hot", 1.0)


class TestClaims:
    def test_own_adapters_go_first_even_if_they_are_worth_more(self) -> None:
        uses = {"m/a": "c1", "m/b": "c2", "m/own": "hot"}
        target = choose(uses, "m/own", make_claim(uses))
        assert target is not None
        assert target.victim == "m/own"

    def test_adapters_that_others_use_stay(self) -> None:
        # Guards against a burst of rare adapters that evicts what other
        # customers request again a second later.
        uses = {"m/a": "c1", "m/b": "c2", "m/c": "c3"}
        assert choose(uses, "m/a", make_claim(uses)) is None
        assert choose(uses, "m/a") is not None

    def test_an_engine_with_an_own_adapter_goes_first(self) -> None:
        uses = {"m/a": "c1", "m/b": "c2", "m/old": "c3"}
        uses |= {"m/c": "c1", "m/d": "c2", "m/own": "hot"}
        known = {name: uses[name] for name in uses if name != "m/old"}
        target = choose(uses, "m/own", make_claim(known), engines=2)
        assert target is not None
        assert (target.engine.name, target.victim) == ("e1", "m/own")

    def test_without_history_any_idle_adapter_may_go(self) -> None:
        # A new owner knows no uses yet.
        uses = {"m/a": "c1", "m/b": "c2", "m/c": "c3"}
        target = choose(uses, "m/a", make_claim({}))
        assert target is not None
        assert target.victim == "m/b"
