"""Tests of orders to engines: the split that is wanted, and that one host orders at a time."""

import unittest

from wasabiwick import _events, _wire
from wasabiwick._effects_forwarding import ClaimOrders, OrderStage, ReadClaims
from wasabiwick._forwarding import StreamLoad
from wasabiwick._handlers import directory, estimates

from ._forward import DECODE, MODEL, PREFILL, Host, engine

SPLIT = tuple(engine(f"p{n}", PREFILL) for n in range(4)) + tuple(
    engine(f"d{n}", DECODE) for n in range(5)
)


def kinds(effects: list, kind: type) -> list:
    """Return the effects of one type."""
    return [one for one in effects if isinstance(one, kind)]


class TestSplit(unittest.TestCase):
    """Engines go to the stage that is short, one at a time."""

    def order(self, host: Host) -> list:
        """Let a host look, claim and order, and return its orders."""
        if not kinds(host.run(4.0), ReadClaims):
            return []
        host.feed(_events.ClaimsRead, end=7, holder="")
        return kinds(host.feed(_events.ClaimAnswered, offset=7), OrderStage)

    def test_too_many_prefill_engines(self) -> None:
        host = Host(endpoints=SPLIT)
        orders = self.order(host)
        self.assertEqual([one.stage for one in orders], [DECODE])
        self.assertEqual(orders[0].fence, 8)

    def test_the_engine_gets_no_work_meanwhile_and_others_are_told(self) -> None:
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
        told = [one for one in host.effects if type(one).__name__ == "TellLoad"]
        self.assertIn(order.endpoint, told[-1].busy)

    def test_no_second_order_soon(self) -> None:
        host = Host(endpoints=SPLIT)
        self.order(host)
        self.assertEqual(kinds(host.run(8.0), ReadClaims), [])

    def test_a_good_split_is_left_alone(self) -> None:
        host = Host(endpoints=SPLIT[1:4] + SPLIT[4:] + (engine("d5", DECODE),))
        self.assertEqual(self.order(host), [])

    def test_two_engines_of_each_stage_are_left(self) -> None:
        host = Host(endpoints=SPLIT[2:])
        estimates.observe_prefill(host.state, MODEL, 1, 1.0)
        for _ in range(3):
            for one in self.order(host):
                self.assertNotEqual(one.stage, DECODE)
            host.run(15.0)

    def test_engines_that_come_one_by_one_are_waited_for(self) -> None:
        host = Host(endpoints=())
        for number, one in enumerate(SPLIT):
            host.read_list(one)
            found = kinds(host.run(1.0), ReadClaims)
            self.assertEqual(found, [], number)


class TestOneHolder(unittest.TestCase):
    """Two hosts never order in turns."""

    def test_another_hosts_claim_is_left_alone_until_it_is_long_over(self) -> None:
        host = Host(endpoints=SPLIT)
        host.run(4.0)
        host.feed(_events.ClaimsRead, end=7, holder="b")
        host.run(4.9)
        self.assertEqual(kinds(host.feed(_events.ClaimsRead, end=7, holder="b"), ClaimOrders), [])
        host.run(0.2)
        self.assertTrue(kinds(host.feed(_events.ClaimsRead, end=7, holder="b"), ClaimOrders))

    def test_a_newer_claim_of_another_begins_the_wait_again(self) -> None:
        host = Host(endpoints=SPLIT)
        host.feed(_events.ClaimsRead, end=7, holder="b")
        host.run(4.9)
        host.feed(_events.ClaimsRead, end=8, holder="c")
        host.run(0.2)
        self.assertEqual(kinds(host.feed(_events.ClaimsRead, end=8, holder="c"), ClaimOrders), [])

    def test_a_claim_that_was_lost_orders_nothing(self) -> None:
        host = Host(endpoints=SPLIT)
        host.run(4.0)
        host.feed(_events.ClaimsRead, end=7, holder="")
        self.assertEqual(kinds(host.feed(_events.ClaimAnswered, offset=-1), OrderStage), [])

    def test_a_claim_that_was_answered_late_orders_nothing(self) -> None:
        host = Host(endpoints=SPLIT)
        host.run(4.0)
        host.feed(_events.ClaimsRead, end=7, holder="")
        host.run(2.1)
        self.assertEqual(kinds(host.feed(_events.ClaimAnswered, offset=7), OrderStage), [])

    def test_only_the_first_of_the_hosts_that_hear_each_other_looks(self) -> None:
        host = Host(endpoints=SPLIT)
        host.feed(
            _events.LoadTold,
            sender=_wire.Owner(host="0", incarnation="1"),
            zone="zone-a",
            address="0:1",
            sequence=1,
            loads={},
        )
        self.assertEqual(kinds(host.run(3.4), ReadClaims), [])


class TestLearnedSizes(unittest.TestCase):
    """Sizes are learned from what comes in, since short streams end first."""

    def test_an_early_short_stream_changes_little(self) -> None:
        host = Host(endpoints=SPLIT)
        service = host.state["routes"].services["writer"]
        before = estimates.mean_sizes(host.state, service)
        host.ask("stream", length_hint=100)
        after = estimates.mean_sizes(host.state, service)
        self.assertLess(abs(after[1] - before[1]) / before[1], 0.1)

    def test_a_stream_load_is_at_least_one_token(self) -> None:
        self.assertEqual(StreamLoad(prompt=1, expected=0, begins=0.0).expected, 1)
