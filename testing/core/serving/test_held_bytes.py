"""Tests of the count of bytes held for slow clients."""

from ridgesill.core.serving.held_bytes import HeldBytes, find_link_backlog


class TestHeldBytes:
    def test_the_largest_client_of_the_largest_customer_goes_first(
        self,
    ) -> None:
        # Guards against one customer's slow clients displacing another's.
        held = HeldBytes(100)
        held.record("a1", "a", 50)
        held.record("b1", "b", 30)
        held.record("b2", "b", 40)
        assert held.find_excess() == "b2"
        held.discard("b2")
        assert (held.total, held.find_excess()) == (80, "")

    def test_a_client_that_reads_again_counts_less(self) -> None:
        held = HeldBytes(100)
        held.record("a1", "", 101)
        held.record("a1", "", 60)
        assert (held.total, held.find_excess()) == (60, "")
        held.record("a1", "", 0)
        assert held.total == 0

    def test_clients_that_left_count_no_more(self) -> None:
        held = HeldBytes(100)
        for name in ("a1", "a2", "a3"):
            held.record(name, "a", 40)
        held.discard_except({"a2", "a9"})
        assert (held.total, held.find_excess()) == (40, "")

    def test_a_client_may_change_its_customer(self) -> None:
        held = HeldBytes(10)
        held.record("proxy", "a", 8)
        held.record("proxy", "b", 8)
        held.record("other", "a", 3)
        assert held.find_excess() == "proxy"


class TestLinkBacklog:
    def test_slow_readers_do_not_look_like_a_narrow_link(self) -> None:
        # 100 clients that read a byte a second hold 20 MB; a link of 5 Mbit/s
        # counts as narrow from 156 KB on.
        assert 100 * find_link_backlog(200_000, 1, 0.5) < 1000

    def test_bytes_that_flow_out_slowly_wait_at_the_link(self) -> None:
        assert find_link_backlog(40_000, 10_000, 0.5) == 20_000
        assert find_link_backlog(5_000, 10_000, 0.5) == 5_000
