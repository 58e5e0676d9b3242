"""Tests of orders that move an engine to another stage, prefill or decode.

They cover when an order improves the split of a service's engines between the stages, and that only
one host at a time sends orders.
"""

import unittest

from wasabiwick import _events, _wire
from wasabiwick._effects_forwarding import ClaimOrders, OrderStage, ReadClaims
from wasabiwick._forwarding import StreamLoad
from wasabiwick._handlers import directory, estimates

from ._forward import DECODE, MODEL, PREFILL, Host, engine

# One prefill engine too many: three prefill and six decode engines would be a balanced split.
SPLIT = tuple(engine(f"p{n}", PREFILL) for n in range(4)) + tuple(
    engine(f"d{n}", DECODE) for n in range(5)
)


def of_type(effects: list, kind: type) -> list:
    """Return the effects of one type."""
    return [one for one in effects if isinstance(one, kind)]


class TestSplit(unittest.TestCase):
    """Engines move to the stage that limits the service, one at a time and only for a clear gain.

    An engine serves no requests while it changes, so a needless change costs capacity.
    """

    def order(self, host: Host) -> list:
        """Let a host review the split and claim the right to send orders.

        Returns the orders that it sends, if any.
        """
        if not of_type(host.run(4.0), ReadClaims):
            return []
        host.feed(_events.ClaimsRead, end=7, holder="")
        return of_type(host.feed(_events.ClaimAnswered, offset=7), OrderStage)

    def test_a_surplus_prefill_engine_is_ordered_to_decode(self) -> None:
        host = Host(endpoints=SPLIT)
        orders = self.order(host)
        self.assertEqual([one.stage for one in orders], [DECODE])
        self.assertEqual(orders[0].fence, 8)  # The offset of the claim, plus one.

    def test_the_ordered_engine_is_marked_busy_and_reported_to_other_hosts(self) -> None:
        host = Host(endpoints=SPLIT)
        host.feed(
            _events.LoadTold,
            sender=_wire.Owner(host="b", incarnation="1"),
            zone="zone-a",
            address="b:1",
            sequence=1,
            loads={},
        )
        (order,) = self.order(host)
        self.assertTrue(directory.is_busy(host.state, order.endpoint, host.now))
        sent = [one for one in host.effects if type(one).__name__ == "TellLoad"]
        self.assertIn(order.endpoint, sent[-1].busy)

    def test_no_second_order_follows_soon(self) -> None:
        host = Host(endpoints=SPLIT)
        self.order(host)
        self.assertEqual(of_type(host.run(8.0), ReadClaims), [])

    def test_a_balanced_split_is_not_changed(self) -> None:
        host = Host(endpoints=SPLIT[1:4] + SPLIT[4:] + (engine("d5", DECODE),))
        self.assertEqual(self.order(host), [])

    def test_two_engines_of_each_stage_remain(self) -> None:
        host = Host(endpoints=SPLIT[2:])
        estimates.observe_prefill(host.state, MODEL, 1, 1.0, host.now)
        for _ in range(3):
            for one in self.order(host):
                self.assertNotEqual(one.stage, DECODE)
            host.run(15.0)

    def test_last_decode_engine_of_a_build_keeps_its_stage(self) -> None:
        """Streams of its build could go on nowhere else."""
        olds = [engine("d0", DECODE, build="v1"), engine("d1", DECODE, build="v1")]
        news = [engine(f"d{n}", DECODE, build="v1.1") for n in range(2, 7)]
        prefill = [engine(f"p{n}", PREFILL, build="v1") for n in range(2)]
        ordered = []
        for decode in (olds + news, olds[:1] + news):
            host = Host(endpoints=(*prefill, *decode))
            for _ in range(50):
                estimates.observe_prefill(host.state, MODEL, 3_000, 1.0, host.now)
            ordered += [one.endpoint for one in self.order(host)]
        self.assertEqual(len(ordered), 2)
        self.assertEqual(ordered[0], "d0")
        self.assertNotEqual(ordered[1], "d0")

    def test_no_claim_while_engines_are_still_being_listed(self) -> None:
        host = Host(endpoints=())
        for number, one in enumerate(SPLIT):
            host.read_list(one)
            found = of_type(host.run(1.0), ReadClaims)
            self.assertEqual(found, [], number)


class TestOneHolder(unittest.TestCase):
    """Two hosts do not send orders alternately, which could move engines back and forth."""

    def test_no_claim_for_five_seconds_after_another_hosts_claim(self) -> None:
        host = Host(endpoints=SPLIT)
        host.run(4.0)
        host.feed(_events.ClaimsRead, end=7, holder="b")
        host.run(4.9)
        self.assertEqual(of_type(host.feed(_events.ClaimsRead, end=7, holder="b"), ClaimOrders), [])
        host.run(0.2)
        self.assertTrue(of_type(host.feed(_events.ClaimsRead, end=7, holder="b"), ClaimOrders))

    def test_a_newer_claim_of_another_host_restarts_the_wait(self) -> None:
        host = Host(endpoints=SPLIT)
        host.feed(_events.ClaimsRead, end=7, holder="b")
        host.run(4.9)
        host.feed(_events.ClaimsRead, end=8, holder="c")
        host.run(0.2)
        self.assertEqual(of_type(host.feed(_events.ClaimsRead, end=8, holder="c"), ClaimOrders), [])

    def test_no_claim_for_five_seconds_after_the_store_was_restored(self) -> None:
        host = Host(endpoints=SPLIT)
        host.run(4.0)
        host.feed(_events.StoreRestored, era=1)
        host.run(4.9)
        self.assertEqual(of_type(host.feed(_events.ClaimsRead, end=7, holder=""), ClaimOrders), [])
        host.run(0.2)
        self.assertTrue(of_type(host.feed(_events.ClaimsRead, end=7, holder=""), ClaimOrders))

    def test_no_claim_for_five_seconds_after_a_start_in_a_store_restored_lately(self) -> None:
        """A host that started after a restore did not know of another host's claim."""
        host = Host(endpoints=SPLIT, era=1)
        host.run(4.9)
        self.assertEqual(of_type(host.feed(_events.ClaimsRead, end=7, holder=""), ClaimOrders), [])
        host.run(0.2)
        self.assertTrue(of_type(host.feed(_events.ClaimsRead, end=7, holder=""), ClaimOrders))

    def test_a_rejected_claim_sends_no_order(self) -> None:
        host = Host(endpoints=SPLIT)
        host.run(4.0)
        host.feed(_events.ClaimsRead, end=7, holder="")
        self.assertEqual(of_type(host.feed(_events.ClaimAnswered, offset=-1), OrderStage), [])

    def test_a_claim_answered_late_sends_no_order(self) -> None:
        host = Host(endpoints=SPLIT)
        host.run(4.0)
        host.feed(_events.ClaimsRead, end=7, holder="")
        host.run(2.1)
        self.assertEqual(of_type(host.feed(_events.ClaimAnswered, offset=7), OrderStage), [])

    def test_hosts_that_reach_no_engine_claim_nothing(self) -> None:
        """Another host gives the orders while the first one is cut off."""
        first, second = Host(name="a", endpoints=SPLIT), Host(name="b", endpoints=SPLIT)
        first.hear("b")
        second.know("a", unreached=(MODEL,))
        first.ask("stream")
        first.cut_off(MODEL)
        self.assertEqual(of_type(first.run(4.0), ReadClaims), [])
        second.run(2.0)
        second.know("a", unreached=(MODEL,))
        self.assertTrue(of_type(second.run(2.0), ReadClaims))

    def test_only_the_host_whose_name_sorts_first_reads_claims(self) -> None:
        host = Host(endpoints=SPLIT)
        host.feed(
            _events.LoadTold,
            sender=_wire.Owner(host="0", incarnation="1"),
            zone="zone-a",
            address="0:1",
            sequence=1,
            loads={},
        )
        self.assertEqual(of_type(host.run(3.4), ReadClaims), [])


class TestLearnedSizes(unittest.TestCase):
    """The mean sizes of prompts and outputs are learned from arriving requests.

    If they were learned from ended streams, they would be too small at first, as short streams end
    first.
    """

    def test_a_single_short_stream_changes_the_mean_little(self) -> None:
        host = Host(endpoints=SPLIT)
        service = host.state["routes"].services["writer"]
        before = estimates.mean_sizes(host.state, service)
        host.ask("stream", length_hint=100)
        after = estimates.mean_sizes(host.state, service)
        self.assertLess(abs(after[1] - before[1]) / before[1], 0.1)

    def test_expected_length_is_at_least_one_token(self) -> None:
        self.assertEqual(StreamLoad(prompt=1, expected=0, begins=0.0).expected, 1)
