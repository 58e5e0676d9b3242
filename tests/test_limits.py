"""Tests of how one host keeps to limits that endpoints name for all hosts together."""

import unittest

from wasabiwick import _events
from wasabiwick._adapters._datagrams import UdpDatagrams
from wasabiwick._effects_forwarding import AnswerPermit, AskPermit, TellLoad
from wasabiwick._errors import OVERLOADED
from wasabiwick._forwarding import EndpointLimit
from wasabiwick._handlers import endpoint_limits, forward_plain, forwarding, neighbours, permits
from wasabiwick._rendezvous import ranked
from wasabiwick._verdict import Verdict

from ._forward import DECODE, PREFILL, Forward, Host, ReadPrompt, TakeHold, engine, plain
from ._processes import until

RATE = 2.0  # Requests a second.


def name_owned_by(owner: str, prefix: str = "s") -> str:
    """Return the name of an endpoint that host ``owner`` owns, of the hosts a and b."""
    names = (f"{prefix}{number}" for number in range(100))
    return next(name for name in names if ranked(name, ["a", "b"])[0] == owner)


OWN, OTHER = name_owned_by("a"), name_owned_by("b")


def limit(host: Host, endpoint: str, rate: float | None = RATE) -> None:
    """Let an endpoint name a limit to a host."""
    host.feed(_events.LimitNamed, endpoint=endpoint, rate=rate)


def questions(host: Host) -> list[AskPermit]:
    """Return the questions that a host has sent."""
    return [one for one in host.effects if isinstance(one, AskPermit)]


def answer(host: Host, wait: float = 0.0) -> None:
    """Answer a host's newest question."""
    asked = questions(host)[-1]
    host.feed(_events.PermitAnswered, call_id=asked.call_id, number=asked.number, wait=wait)


def ask(host: Host, endpoint: str, *, sender: str = "b", rate: float | None = RATE) -> float:
    """Let another host ask a host for a permit, and return how long it has to wait."""
    named = EndpointLimit(endpoint=endpoint, rate=rate, named_at=host.now)
    host.feed(
        _events.PermitAsked,
        host=sender,
        address=f"{sender}:1",
        call_id="x",
        number=1,
        limit=named,
    )
    return [one for one in host.effects if isinstance(one, AnswerPermit)][-1].wait


class TestOwnEndpoints(unittest.TestCase):
    """The owner of an endpoint lets its own and others' requests through at the limit."""

    def setUp(self) -> None:
        self.host = Host(endpoints=(plain(OWN),))
        self.host.hear("b")

    def sent(self, seconds: float) -> int:
        """Send requests for a while, and return how many reached the endpoint."""
        count = 0
        for _ in range(int(seconds / 0.05)):
            call = self.host.ask("safe")
            if self.host.effects_of(Forward, call):
                self.host.answer(call)
                count += 1
            self.host.feed(_events.ForwardAnswered, call_id=call)
            self.host.run(0.05)
        return count

    def hear_on(self) -> None:
        """Hear the other host again."""
        self.host.state["neighbours"].hosts["b"].sequence = 0
        self.host.hear("b")

    def test_without_a_limit_all_is_sent(self) -> None:
        self.assertEqual(self.sent(1.0), 20)

    def test_requests_keep_to_the_limit(self) -> None:
        limit(self.host, OWN)
        for _ in range(3):
            self.hear_on()
            self.assertLessEqual(abs(self.sent(2.0) - 2.0 * RATE), 1)

    def test_excess_is_refused_at_once_with_when_to_come_back(self) -> None:
        limit(self.host, OWN, 0.5)
        call = self.host.ask("unsafe")
        refusal = self.host.refusal(call)
        self.assertEqual((refusal.reason, refusal.verdict), (OVERLOADED, Verdict.NOT_RUN))
        self.assertGreater(refusal.retry_after, forward_plain.RETRY_AFTER)

    def test_other_hosts_share_the_limit(self) -> None:
        limit(self.host, OWN)
        self.assertGreater(ask(self.host, OWN), 0.0)
        self.host.run(1.0 / RATE)
        self.assertEqual(ask(self.host, OWN), 0.0)
        self.assertGreater(ask(self.host, OWN), 0.0)
        self.assertEqual(self.host.effects_of(Forward, self.host.ask("safe")), [])

    def test_question_tells_an_owner_the_limit(self) -> None:
        self.assertGreater(ask(self.host, OWN), 0.0)
        self.assertEqual(endpoint_limits.limit_of(self.host.state, OWN).rate, RATE)

    def test_limit_that_ended_binds_nobody(self) -> None:
        limit(self.host, OWN)
        self.host.run(0.1)
        limit(self.host, OWN, None)
        self.assertEqual(self.sent(1.0), 20)
        self.host.run(0.1)
        old = EndpointLimit(endpoint=OWN, rate=RATE, named_at=self.host.now - 3.0)
        self.assertFalse(endpoint_limits.learn(self.host.state, old))

    def test_wait_too_short_for_the_clock_is_still_a_wait(self) -> None:
        limit(self.host, OWN)
        ask(self.host, OWN)
        bucket = self.host.state["permits"].buckets[OWN]
        bucket.tokens, bucket.at = 1.0 - 2**-53, self.host.now
        call = self.host.ask("safe")
        self.assertIsNotNone(self.host.refusal(call))

    def test_limit_of_zero_still_lets_a_request_through_at_times(self) -> None:
        limit(self.host, OWN, 0.0)
        self.host.state["neighbours"].hosts.clear()
        self.assertEqual(self.sent(11.0), int(11.0 * permits.MIN_RATE))

    def test_silent_hosts_keep_their_share(self) -> None:
        limit(self.host, OWN, 4.0)
        self.host.run(neighbours.SILENT_AFTER + 1.0)
        self.sent(1.0)
        self.assertLessEqual(abs(self.sent(4.0) - 8), 1)

    def test_limits_of_endpoints_that_are_gone_are_forgotten(self) -> None:
        limit(self.host, OWN)
        self.host.drop(OWN)
        self.assertEqual(self.host.state["endpoint_limits"].limits, {})

    def test_memory_stays_bounded(self) -> None:
        for number in range(permits.MAX_BUCKETS + 20):
            ask(self.host, f"e{number}")
        self.assertEqual(len(self.host.state["permits"].buckets), permits.MAX_BUCKETS)


class TestOtherOwners(unittest.TestCase):
    """Before it sends a request to an endpoint with a limit, a host asks the owner."""

    def setUp(self) -> None:
        self.host = Host(endpoints=(plain(OTHER),))
        self.host.hear("b")
        limit(self.host, OTHER)

    def test_request_is_sent_once_it_is_let_through(self) -> None:
        call = self.host.ask("unsafe")
        self.assertEqual(self.host.effects_of(Forward, call), [])
        answer(self.host)
        self.assertEqual(len(self.host.effects_of(Forward, call)), 1)

    def test_request_that_has_to_wait_is_refused(self) -> None:
        call = self.host.ask("unsafe")
        answer(self.host, wait=3.0)
        self.assertGreaterEqual(self.host.refusal(call).retry_after, 3.0)

    def test_owner_that_said_to_wait_is_not_asked_until_then(self) -> None:
        self.host.ask("safe")
        answer(self.host, wait=1.0)
        for _ in range(5):
            self.host.ask("safe")
        self.assertEqual(len(questions(self.host)), 1)
        self.host.run(1.1)
        self.host.ask("safe")
        self.assertEqual(len(questions(self.host)), 2)

    def test_lost_question_is_repeated_and_then_the_next_host_decides(self) -> None:
        call = self.host.ask("safe")
        self.host.run(permits.ASK_TIMEOUT_S + 0.01)
        self.assertEqual(len(questions(self.host)), permits.MAX_ASKS)
        self.host.run(permits.ASK_TIMEOUT_S + 0.01)
        self.assertIsNotNone(self.host.refusal(call))
        self.host.run(permits.UNANSWERED_PAUSE_S)
        self.host.ask("safe")
        self.assertEqual(len(questions(self.host)), permits.MAX_ASKS)

    def test_late_answer_to_another_question_is_ignored(self) -> None:
        call = self.host.ask("safe")
        self.host.feed(_events.PermitAnswered, call_id=call, number=99, wait=0.0)
        self.assertEqual(self.host.effects_of(Forward, call), [])

    def test_caller_that_left_meanwhile_gets_no_request_sent(self) -> None:
        call = self.host.ask("safe")
        self.host.feed(_events.ForwardLeft, call_id=call)
        answer(self.host)
        self.assertEqual(self.host.effects_of(Forward, call), [])
        self.host.run(1.0)
        self.assertEqual(len(questions(self.host)), 1)

    def test_owner_is_not_passed_over_because_a_caller_left(self) -> None:
        call = self.host.ask("safe")
        self.host.feed(_events.ForwardLeft, call_id=call)
        self.host.run(permits.ASK_TIMEOUT_S + 0.01)
        self.host.ask("safe")
        self.assertEqual(len(questions(self.host)), 2)

    def test_endpoint_that_leaves_meanwhile_gets_no_request(self) -> None:
        call = self.host.ask("safe")
        self.host.read_list(plain(OTHER, leaving=True), plain("free"))
        answer(self.host)
        self.assertEqual(self.host.last_effect(Forward, call).endpoint, "free")

    def test_endpoint_without_a_limit_is_chosen_instead(self) -> None:
        self.host.read_list(plain("free"))
        call = self.host.ask("safe")
        if not self.host.effects_of(Forward, call):
            answer(self.host, wait=2.0)
        self.assertEqual(self.host.last_effect(Forward, call).endpoint, "free")

    def test_repeat_needs_a_permit_too(self) -> None:
        call = self.host.ask("safe")
        answer(self.host)
        other = plain(name_owned_by("b", "r"))
        self.host.read_list(other)
        limit(self.host, other.name)
        self.host.answer(call, 500)
        self.assertEqual(len(self.host.effects_of(Forward, call)), 1)
        self.assertEqual(questions(self.host)[-1].limit.endpoint, other.name)

    def test_stopping_host_is_not_asked(self) -> None:
        self.host.state["neighbours"].hosts["b"].stopping = True
        self.host.ask("safe")
        self.assertEqual(questions(self.host), [])


class TestEngines(unittest.TestCase):
    """Limits of model engines hold for places and for prefills."""

    def setUp(self) -> None:
        self.decode, self.prefill = name_owned_by("b", "d"), name_owned_by("b", "p")
        self.host = Host(endpoints=(engine(self.prefill, PREFILL), engine(self.decode, DECODE)))
        self.host.hear("b")

    def test_place_is_reserved_once_the_engine_has_room(self) -> None:
        limit(self.host, self.decode)
        call = self.host.ask("stream")
        self.assertEqual(self.host.effects_of(TakeHold, call), [])
        answer(self.host)
        self.assertEqual(len(self.host.effects_of(TakeHold, call)), 1)
        self.host.answer_hold(call)
        self.host.answer_prefill(call)
        self.host.answer(call, streams=True)
        self.assertEqual(forwarding.call(self.host.state, call).phase, forwarding.RELAYING)

    def test_request_waits_for_a_place_while_the_engine_has_no_room(self) -> None:
        limit(self.host, self.decode)
        call = self.host.ask("stream")
        answer(self.host, wait=0.3)
        self.assertEqual(forwarding.call(self.host.state, call).phase, forwarding.WAITING)
        self.assertEqual(self.host.state["places"].own_loads, {})
        self.host.run(0.35)
        answer(self.host)
        self.assertEqual(len(self.host.effects_of(TakeHold, call)), 1)

    def test_engine_without_a_limit_is_chosen_instead(self) -> None:
        limit(self.host, self.decode)
        self.host.ask("stream")
        answer(self.host, wait=5.0)
        self.host.read_list(engine("free", DECODE))
        call = self.host.ask("stream")
        self.assertEqual(self.host.last_effect(TakeHold, call).endpoint, "free")

    def test_prefill_needs_a_permit(self) -> None:
        limit(self.host, self.prefill)
        call = self.host.ask("stream")
        self.host.answer_hold(call)
        self.assertEqual(self.host.effects_of(ReadPrompt, call), [])
        answer(self.host)
        self.assertEqual(len(self.host.effects_of(ReadPrompt, call)), 1)

    def test_decode_engine_prefills_while_no_prefill_engine_has_room(self) -> None:
        limit(self.host, self.prefill)
        call = self.host.ask("stream")
        self.host.answer_hold(call)
        answer(self.host, wait=5.0)
        self.assertEqual(self.host.effects_of(ReadPrompt, call), [])
        self.assertEqual(self.host.last_effect(Forward, call).endpoint, self.decode)

    def test_engine_that_leaves_meanwhile_is_not_asked_for_a_place(self) -> None:
        limit(self.host, self.decode)
        call = self.host.ask("stream")
        self.host.read_list(engine(self.decode, DECODE, leaving=True), engine("free", DECODE))
        answer(self.host)
        self.assertEqual(self.host.last_effect(TakeHold, call).endpoint, "free")

    def test_caller_that_left_meanwhile_holds_no_place(self) -> None:
        limit(self.host, self.decode)
        call = self.host.ask("stream")
        self.host.feed(_events.ForwardLeft, call_id=call)
        answer(self.host)
        self.assertEqual(self.host.effects_of(TakeHold, call), [])
        self.assertEqual(self.host.state["places"].own_loads, {})


class TestTelling(unittest.IsolatedAsyncioTestCase):
    """Hosts tell each other the limits that endpoints named to them."""

    def setUp(self) -> None:
        self.host = Host(endpoints=(plain(OWN), plain(OTHER)))
        self.host.hear("b")
        self.host.run(0.1)

    def told(self) -> list[EndpointLimit]:
        """Return the limits in the newest datagram."""
        return list([one for one in self.host.effects if isinstance(one, TellLoad)][-1].limits)

    def hear(self, rate: float | None, named_at: float) -> None:
        """Hear another host tell a limit."""
        named = EndpointLimit(endpoint=OWN, rate=rate, named_at=named_at)
        sequence = self.host.state["neighbours"].hosts["b"].sequence + 1
        fields = {"addresses": (), "sequence": sequence, "loads": {}, "stopping": False}
        self.host.hear("b", TellLoad(busy={}, limits=(named,), **fields))

    def rate(self) -> float | None:
        """Return the rate that the host keeps to, or None."""
        known = endpoint_limits.limit_of(self.host.state, OWN)
        return known.rate if known else None

    def test_limit_is_told_soon(self) -> None:
        limit(self.host, OWN)
        self.host.run(0.05)
        self.assertEqual([(one.endpoint, one.rate) for one in self.told()], [(OWN, RATE)])

    def test_limit_that_another_host_tells_binds(self) -> None:
        self.hear(3.0, self.host.now)
        self.assertEqual(self.rate(), 3.0)

    def test_newest_word_of_the_endpoint_holds(self) -> None:
        self.hear(3.0, self.host.now)
        self.hear(9.0, self.host.now - 1.0)
        self.assertEqual(self.rate(), 3.0)
        self.hear(None, self.host.now + 0.1)
        self.assertIsNone(self.rate())

    def test_what_was_only_heard_is_not_told_again(self) -> None:
        self.hear(3.0, self.host.now)
        self.host.run(1.1)
        self.assertEqual(self.told(), [])

    def test_datagrams_stay_small(self) -> None:
        for number in range(3 * endpoint_limits.MAX_TOLD):
            limit(self.host, f"e{number}")
        self.host.run(0.05)
        self.assertEqual(len(self.told()), endpoint_limits.MAX_TOLD)

    async def test_questions_and_answers_pass_unchanged(self) -> None:
        events: list[object] = []

        class Receiver:
            post = staticmethod(events.append)
            now = staticmethod(lambda: 500.0)

        sockets = [UdpDatagrams("127.0.0.1:0") for _ in range(2)]
        for one in sockets:
            await one.open(Receiver())
            self.addCleanup(one.close)
        named = EndpointLimit(endpoint=OWN, rate=RATE, named_at=499.0)
        asked = AskPermit(address=sockets[1].address, call_id="c", number=7, limit=named)
        sockets[0].ask_permit(self.host.state.owner, asked)
        given = AnswerPermit(address=sockets[0].address, call_id="c", number=7, wait=0.25)
        sockets[1].answer_permit(given)

        async def have_arrived() -> bool:
            return len(events) == 2

        await until(have_arrived)
        by_type = {type(one): one for one in events}
        question, reply = by_type[_events.PermitAsked], by_type[_events.PermitAnswered]
        self.assertEqual((question.host, question.address), ("a", sockets[0].address))
        self.assertEqual((question.call_id, question.number, question.limit), ("c", 7, named))
        self.assertEqual((reply.call_id, reply.number, reply.wait), ("c", 7, 0.25))
