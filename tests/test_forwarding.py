"""Tests of forwarding by routes: verdicts, retries, reserved places, and what a call frees."""

import random
import unittest

from wasabiwick import _events
from wasabiwick._effects_forwarding import AskWhetherBusy, CutForward, DropHold, FreeHandle
from wasabiwick._errors import ENDPOINT_CHANGED, ENDPOINT_REFUSED, OVERLOADED, Failure
from wasabiwick._forwarding import RouteTable
from wasabiwick._handlers import places
from wasabiwick._verdict import Verdict

from ._forward import (
    BROKEN,
    DECODE,
    ENDPOINTS,
    MODEL,
    PREFILL,
    REFUSED,
    UNREACHABLE,
    DropTry,
    Forward,
    Host,
    ReadPrompt,
    Relay,
    TakeHold,
    engine,
    plain,
    table,
)

# Statuses of a refusal that tell the caller that its request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class TestArrival(unittest.TestCase):
    """A call that can't be started is refused with a reason that the host can be sure of.

    A host without routes, for example, doesn't know which paths exist, so it must not answer 404.
    """

    def test_a_host_without_routes_answers_503_instead_of_404(self) -> None:
        host = Host()
        host.state["routes"].table = None
        call = host.ask("nowhere")
        self.assertEqual(host.refusal(call).reason.status, 503)
        self.assertEqual(host.refusal(call).verdict, Verdict.NOT_RUN)

    def test_an_unknown_path_is_not_found(self) -> None:
        host = Host()
        self.assertEqual(host.refusal(host.ask("nowhere")).reason.status, 404)

    def test_a_service_without_endpoints_refuses_at_once(self) -> None:
        host = Host(endpoints=())
        call = host.ask("safe")
        self.assertEqual(host.refusal(call).reason.code, "no_endpoint")
        self.assertIsNotNone(host.refusal(call).retry_after)

    def test_a_prompt_larger_than_any_engine_is_refused_at_once(self) -> None:
        host = Host()
        call = host.ask("stream", prompt_tokens=40_000)
        self.assertEqual(host.refusal(call).verdict, Verdict.NOT_RUN)
        self.assertFalse(host.is_open(call))


class TestSafe(unittest.TestCase):
    """A safe request is retried at a second endpoint after any failure, within its attempts."""

    def test_a_failed_request_is_retried_at_another_endpoint(self) -> None:
        host = Host()
        call = host.ask("safe")
        first = host.last_effect(Forward, call).endpoint
        host.answer(call, 500)
        self.assertNotEqual(host.last_effect(Forward, call).endpoint, first)
        self.assertEqual(host.effects_of(Relay, call), [])
        host.answer(call, 200)
        self.assertEqual(host.last_effect(Relay, call).number, 2)

    def test_the_second_failure_is_relayed(self) -> None:
        host = Host()
        call = host.ask("safe")
        host.answer(call, 500)
        host.answer(call, 500)
        self.assertEqual(len(host.effects_of(Forward, call)), 2)
        self.assertEqual(host.last_effect(Relay, call).number, 2)

    def test_no_retry_without_budget(self) -> None:
        host = Host(slack=0.0)
        call = host.ask("safe")
        host.answer(call, 500)
        self.assertEqual(len(host.effects_of(Forward, call)), 1)
        self.assertEqual(host.last_effect(Relay, call).number, 1)


class TestSilenceWithoutRetries(unittest.TestCase):
    """A silent endpoint is given up only while the request may go to another one."""

    def test_plain_request_waits_on(self) -> None:
        """Callers got 502 at the latency target, while their endpoint still worked."""
        for slack, waits_on in ((50.0, False), (0.0, True)):
            host = Host(slack=slack)
            quiet = host.last_effect(Forward, host.ask("safe")).quiet
            self.assertEqual(quiet == 0.0, waits_on)

    def test_stream_waits_on(self) -> None:
        host = Host(slack=0.0)
        call = host.ask("stream")
        host.answer_hold(call)
        self.assertEqual(host.last_effect(Forward, call).quiet, 0.0)


class TestNoEndpoint(unittest.TestCase):
    """A refusal says whether there is no endpoint, none left to try, or no connection free."""

    def test_all_endpoints_have_refused(self) -> None:
        host = Host()
        call = host.ask("unsafe")
        host.answer(call, 503, not_run=True)
        host.answer(call, 503, not_run=True)
        self.assertEqual(host.refusal(call).reason, ENDPOINT_REFUSED)
        self.assertIs(host.refusal(call).verdict, Verdict.NOT_RUN)

    def test_all_connections_are_in_use(self) -> None:
        host = Host()
        calls = [host.ask("unsafe") for _ in range(201)]  # Two endpoints of 100 connections.
        self.assertIsNone(host.refusal(calls[199]))
        self.assertEqual(host.refusal(calls[200]).reason, OVERLOADED)
        self.assertGreater(host.refusal(calls[200]).retry_after, 0.0)


class TestUnsafe(unittest.TestCase):
    """An unsafe request runs at most once; a refusal says "not run" only if that is certain."""

    def test_a_request_on_a_broken_connection_is_not_retried(self) -> None:
        host = Host()
        call = host.ask("unsafe")
        host.fail(call, BROKEN)
        self.assertEqual(len(host.effects_of(Forward, call)), 1)
        self.assertEqual(host.refusal(call).verdict, Verdict.MAY_HAVE_RUN)
        self.assertNotIn(host.refusal(call).reason.status, NOT_RUN_STATUSES)

    def test_a_request_that_has_not_run_is_sent_elsewhere(self) -> None:
        host = Host()
        call = host.ask("unsafe")
        host.answer(call, 503, not_run=True)
        self.assertEqual(len(host.effects_of(Forward, call)), 2)

    def test_an_unreachable_endpoint_costs_no_budget(self) -> None:
        host = Host(slack=0.0)
        call = host.ask("unsafe")
        host.fail(call, UNREACHABLE)
        self.assertEqual(len(host.effects_of(Forward, call)), 2)

    def test_the_endpoints_own_failure_is_relayed(self) -> None:
        host = Host()
        call = host.ask("unsafe")
        host.answer(call, 500)
        self.assertEqual(len(host.effects_of(Forward, call)), 1)
        self.assertEqual(host.last_effect(Relay, call).number, 1)

    def test_a_status_that_says_not_run_is_never_relayed(self) -> None:
        """An endpoint that fails behind its work may answer so; its caller would come again."""
        for path in ("unsafe", "draft", "news"):
            for status in NOT_RUN_STATUSES:
                with self.subTest(path=path, status=status):
                    host = Host()
                    call = host.ask(path)
                    if path == "draft":
                        host.answer_hold(call)
                        host.answer_prefill(call)
                    host.answer(call, status)
                    self.assertEqual(len(host.effects_of(Forward, call)), 1)
                    self.assertEqual(host.effects_of(Relay, call), [])
                    self.assertEqual(host.refusal(call).reason.status, 502)
                    self.assertIs(host.refusal(call).verdict, Verdict.MAY_HAVE_RUN)
                    self.assertIsNone(host.refusal(call).retry_after)

    def test_a_refusal_after_a_try_that_may_have_run_is_not_relayed(self) -> None:
        """The last endpoint says that it has not run the request; the one before may have."""
        for slack, path in ((50.0, "safe"), (1.0, "safe"), (50.0, "stream")):
            with self.subTest(slack=slack, path=path):
                host = Host(slack=slack)
                call = host.ask(path)
                for not_run in (False, True, True):
                    holds = host.effects_of(TakeHold, call)
                    if len(holds) > len(host.effects_of(Forward, call)):
                        host.answer_hold(call)
                        host.answer_prefill(call)
                    if host.is_open(call):
                        host.answer(call, 503, not_run=not_run)
                        host.run(0.1)
                host.run(15.0)
                self.assertEqual(host.effects_of(Relay, call), [])
                self.assertNotIn(host.refusal(call).reason.status, NOT_RUN_STATUSES)

    def test_a_safe_request_is_sent_again_after_such_a_status(self) -> None:
        for status in NOT_RUN_STATUSES:
            host = Host()
            call = host.ask("safe")
            host.answer(call, status)
            self.assertEqual(len(host.effects_of(Forward, call)), 2)

    def test_a_time_out_after_a_send_does_not_say_not_run(self) -> None:
        host = Host()
        call = host.ask("unsafe")
        host.run(0.85)
        self.assertEqual(host.refusal(call).reason.status, 504)
        self.assertTrue(host.effects_of(DropTry, call))

    def test_random_failures_run_a_request_at_most_once(self) -> None:
        """Statuses that say not run are given only if no endpoint may have run the request."""
        for seed in range(300):
            rng = random.Random(seed)
            host = Host(slack=rng.choice((0.0, 50.0)))
            call = host.ask("unsafe")
            may_have_run = 0
            while host.is_open(call):
                choice = rng.randrange(5)
                if choice == 0:
                    host.answer(call, 503, not_run=True)
                elif choice == 1:
                    host.fail(call, UNREACHABLE)
                elif choice == 2:
                    may_have_run += 1
                    host.fail(call, BROKEN)
                elif choice == 3:
                    may_have_run += 1
                    host.answer(call, rng.choice((200, 500, *NOT_RUN_STATUSES)))
                    host.feed(_events.ForwardAnswered, call_id=call)
                    self.assertLessEqual(len(host.effects_of(Relay, call)), 1)
                else:
                    may_have_run += 1
                    host.run(1.0)
            self.assertLessEqual(may_have_run, 1, seed)
            refusal = host.refusal(call)
            if refusal is not None and refusal.reason.status in NOT_RUN_STATUSES:
                self.assertEqual(may_have_run, 0, seed)


class TestStreamOfPlainService(unittest.TestCase):
    """A stream of a plain service that broke off is resumed or cut off, never begun again."""

    def stream(self, path: str) -> tuple[Host, str]:
        host = Host()
        call = host.ask(path)
        host.answer(call, streams=True)
        return host, call

    def test_a_broken_stream_resumes_after_its_last_event(self) -> None:
        host, call = self.stream("feed")
        host.fail(call, BROKEN, events=3)
        first, second = host.effects_of(Forward, call)
        self.assertNotEqual(first.endpoint, second.endpoint)
        self.assertEqual((first.resume, second.resume), (False, True))

    def test_a_broken_stream_that_cannot_be_resumed_is_cut_off(self) -> None:
        host, call = self.stream("news")
        host.fail(call, BROKEN, events=3)
        self.assertEqual(len(host.effects_of(Forward, call)), 1)
        self.assertTrue(host.effects_of(CutForward, call))
        self.assertIsNone(host.refusal(call))

    def test_a_broken_stream_of_a_safe_route_is_cut_off(self) -> None:
        """A safe request may be repeated as a whole; only some routes let a stream go on."""
        host, call = self.stream("safe")
        host.fail(call, BROKEN, events=3)
        self.assertEqual(len(host.effects_of(Forward, call)), 1)
        self.assertTrue(host.effects_of(CutForward, call))

    def test_no_failure_is_relayed_into_a_stream(self) -> None:
        for not_run in (True, False):
            host, call = self.stream("feed")
            host.fail(call, BROKEN, events=3)
            host.answer(call, 503 if not_run else 500, not_run=not_run)
            self.assertEqual(len(host.effects_of(Relay, call)), 1)
            self.assertTrue(host.effects_of(CutForward, call))

    def test_no_failure_is_relayed_into_a_stream_without_budget(self) -> None:
        host = Host(slack=1.0)
        call = host.ask("feed")
        host.answer(call, streams=True)
        host.fail(call, BROKEN, events=3)
        host.answer(call, 503, not_run=True)
        self.assertEqual(len(host.effects_of(Relay, call)), 1)
        self.assertTrue(host.effects_of(CutForward, call))


class TestStream(unittest.TestCase):
    """A place at a decode engine is reserved before the prefill, and freed when its call ends."""

    def test_hold_then_prefill_then_send(self) -> None:
        host = Host()
        call = host.ask("stream")
        self.assertEqual(host.effects_of(ReadPrompt, call), [])
        host.answer_hold(call)
        self.assertEqual(host.effects_of(Forward, call), [])
        host.answer_prefill(call)
        sent = host.last_effect(Forward, call)
        self.assertEqual(sent.endpoint, host.last_effect(TakeHold, call).endpoint)
        self.assertEqual((sent.hold, sent.handle, sent.source), (f"h-{call}", f"k-{call}", "p0:80"))

    def test_a_refused_hold_prefills_nothing_and_tries_another_engine(self) -> None:
        host = Host()
        call = host.ask("stream")
        first = host.last_effect(TakeHold, call).endpoint
        host.answer_hold(call, REFUSED)
        self.assertNotEqual(host.last_effect(TakeHold, call).endpoint, first)
        self.assertEqual(host.effects_of(ReadPrompt, call), [])

    def test_a_caller_that_leaves_frees_its_hold_and_place(self) -> None:
        host = Host()
        call = host.ask("stream")
        host.answer_hold(call)
        host.feed(_events.ForwardLeft, call_id=call)
        self.assertEqual(host.last_effect(DropHold, call).hold, f"h-{call}")
        self.assertTrue(host.effects_of(DropTry, call))
        self.assertEqual(host.state["places"].own_loads, {})

    def test_a_kv_handle_that_no_engine_fetches_is_freed(self) -> None:
        host = Host()
        call = host.ask("stream")
        host.answer_hold(call)
        place = host.last_effect(TakeHold, call).endpoint
        host.read_list(engine(place, DECODE, leaving=True))
        host.answer_prefill(call)
        self.assertEqual(host.last_effect(FreeHandle, call).handle, f"k-{call}")

    def test_a_place_at_a_leaving_engine_is_replaced(self) -> None:
        host = Host()
        call = host.ask("stream")
        host.answer_hold(call)
        place = host.last_effect(TakeHold, call).endpoint
        host.read_list(engine(place, DECODE, leaving=True))
        host.answer_prefill(call)
        self.assertEqual(host.effects_of(Forward, call), [])
        self.assertNotEqual(host.last_effect(TakeHold, call).endpoint, place)

    def test_a_broken_stream_resumes_elsewhere_after_its_last_event(self) -> None:
        host = Host()
        call = host.start_stream()
        first = host.last_effect(Forward, call).endpoint
        host.fail(call, BROKEN, events=7)
        host.answer_hold(call)
        host.answer_prefill(call)
        sent = host.last_effect(Forward, call)
        self.assertTrue(sent.resume)
        self.assertNotEqual(sent.endpoint, first)

    def test_a_lost_answer_is_retried_where_the_prompt_is(self) -> None:
        """The engine still has the prompt's KV cache; a retry elsewhere prefills the prompt again.

        Such retries were a third of all wasted prefills.
        """
        host = Host()
        call = host.ask("stream")
        host.answer_hold(call)
        host.answer_prefill(call)
        first = host.last_effect(Forward, call).endpoint
        host.fail(call, BROKEN)
        self.assertEqual(host.last_effect(TakeHold, call).endpoint, first)
        host.answer_hold(call)
        self.assertEqual(len(host.effects_of(ReadPrompt, call)), 1)
        self.assertEqual(host.last_effect(Forward, call).endpoint, first)
        self.assertEqual(host.last_effect(Forward, call).handle, "")
        self.assertEqual(host.state["forwarding"].calls[call].possible_runs, 1)
        host.fail(call, BROKEN)
        host.answer_hold(call)
        host.answer_prefill(call)
        self.assertNotEqual(host.last_effect(Forward, call).endpoint, first)

    def test_a_lost_run_counts_at_its_engine_until_it_should_have_ended(self) -> None:
        """An engine completes a request whose answer was lost on the way to the host.

        While hosts did not count such requests, they filled up the engine's memory.
        """
        host = Host()
        call = host.ask("draft")  # Can't be resumed.
        host.answer_hold(call)
        host.answer_prefill(call)
        engine_ = host.last_effect(Forward, call).endpoint
        host.fail(call, BROKEN)
        self.assertFalse(host.is_open(call))
        self.assertEqual(places.load(host.state, engine_, host.now).running, 1)
        host.run(5.0)
        self.assertEqual(host.state["places"].own_loads, {})

    def test_an_engine_that_lost_several_answers_is_avoided(self) -> None:
        host = Host()
        calls = [host.ask("stream") for _ in range(4)]
        for call in calls:
            host.answer_hold(call)
            host.answer_prefill(call)
        first, second = [call for call in calls if host.last_effect(Forward, call).endpoint == "d0"]
        host.fail(first, BROKEN)
        host.fail(second, BROKEN)
        self.assertEqual(host.last_effect(TakeHold, first).endpoint, "d0")
        self.assertNotEqual(host.last_effect(TakeHold, second).endpoint, "d0")

    def test_a_lost_answer_leaves_time_for_another_place(self) -> None:
        """A request that was sent once may wait longer for a place than one that was not.

        The wait for the lost answer counts too, so such calls were refused right after the loss.
        """
        host = Host()
        call = host.ask("stream")
        host.answer_hold(call)
        host.answer_prefill(call)
        self.assertLess(host.last_effect(Forward, call).quiet, 2.0)
        host.run(2.9)
        host.fail(call, BROKEN)
        self.assertTrue(host.is_open(call))
        self.assertEqual(len(host.effects_of(TakeHold, call)), 2)

    def test_an_engine_that_refuses_a_reserved_place_is_asked_if_busy(self) -> None:
        host = Host()
        calls = [host.ask("stream") for _ in range(4)]
        for call in calls:
            host.answer_hold(call)
            host.answer_prefill(call)
            host.answer(call, 503, not_run=True)
        asked = [one.endpoint for one in host.effects if isinstance(one, AskWhetherBusy)]
        self.assertEqual(sorted(asked), ["d0", "d1"])
        host.feed(_events.EngineSaidBusy, endpoint="d0", is_busy=True)
        host.run(0.3)
        for call in (host.ask("stream") for _ in range(3)):
            self.assertEqual(host.last_effect(TakeHold, call).endpoint, "d1")

    def test_a_broken_stream_that_cannot_be_resumed_is_cut_off(self) -> None:
        host = Host()
        call = host.start_stream("draft")
        host.fail(call, BROKEN, events=7)
        self.assertTrue(host.effects_of(CutForward, call))
        self.assertEqual(len(host.effects_of(Forward, call)), 1)

    def test_a_broken_stream_may_wait_for_a_place(self) -> None:
        """A stream that broke off after 7 s was cut off instead of waiting for another place.

        The limit on waits counts from the call's arrival, so it seemed to have waited for 7 s.
        """
        host = Host()
        call = host.start_stream()
        host.run(5.0)
        host.fail(call, BROKEN, events=7)
        host.answer_hold(call, REFUSED)
        host.run(0.02)
        self.assertTrue(host.is_open(call))
        self.assertEqual(host.effects_of(CutForward, call), [])

    def test_a_pause_between_events_ends_no_stream(self) -> None:
        host = Host()
        call = host.start_stream()
        host.run(4.0)
        self.assertTrue(host.is_open(call))

    def test_a_failure_with_another_try_number_changes_nothing(self) -> None:
        host = Host()
        call = host.start_stream()
        old = host.last_effect(Forward, call)
        host.fail(call, BROKEN, events=3)
        before = len(host.effects)
        host.feed(
            _events.TryFailed,
            call_id=call,
            endpoint=old.endpoint,
            number=old.number + 1,
            failure=BROKEN,
            events=0,
        )
        self.assertEqual(len(host.effects), before)


class TestPrefill(unittest.TestCase):
    """Refused prefills count as retries, and full engines get no prompts for a while."""

    def test_a_refused_prefill_counts_as_a_retry(self) -> None:
        host = Host()
        call = host.ask("stream")
        host.answer_hold(call)
        host.answer_prefill(call, REFUSED)
        self.assertEqual(len(host.state["retry_budget"].windows["writer"].retries), 1)

    def test_an_engine_that_refused_gets_no_other_prompt_for_a_while(self) -> None:
        """A full engine that was chosen again and again refused 96 prefills in a row."""
        host = Host()
        call = host.ask("stream")
        host.answer_hold(call)
        host.answer_prefill(call, REFUSED)
        # The only prefill engine is full, so the decode engine prefills the prompt itself.
        self.assertEqual(len(host.effects_of(ReadPrompt, call)), 1)
        self.assertEqual(host.last_effect(Forward, call).handle, "")
        other = host.ask("stream")
        self.assertEqual(host.effects_of(TakeHold, other), [])
        host.run(0.35)
        self.assertEqual(len(host.effects_of(TakeHold, other)), 1)

    def test_an_engine_that_changed_its_stage_gets_no_other_prompt(self) -> None:
        host = Host(endpoints=(*ENDPOINTS, engine("p1", PREFILL)))
        changed = Failure(reason=ENDPOINT_CHANGED, verdict=Verdict.NOT_RUN, detail="status 421")
        call = host.ask("stream")
        host.answer_hold(call)
        first = host.last_effect(ReadPrompt, call).endpoint
        host.answer_prefill(call, changed)
        host.run(0.5)
        other = host.ask("stream")
        host.answer_hold(other)
        self.assertNotEqual(host.last_effect(ReadPrompt, other).endpoint, first)

    def test_a_prefill_with_a_lost_answer_is_retried_once_at_the_same_engine(
        self,
    ) -> None:
        host = Host(endpoints=(*ENDPOINTS, engine("p1", PREFILL)))
        call = host.ask("stream")
        host.answer_hold(call)
        first = host.last_effect(ReadPrompt, call).endpoint
        host.answer_prefill(call, BROKEN)
        self.assertEqual(host.last_effect(ReadPrompt, call).endpoint, first)
        host.answer_prefill(call, BROKEN)
        self.assertNotEqual(host.last_effect(ReadPrompt, call).endpoint, first)

    def test_a_prefill_without_an_answer_times_out_early(self) -> None:
        """Without a time-out, a lost answer keeps its call waiting until the caller leaves."""
        host = Host()
        call = host.ask("stream")
        host.answer_hold(call)
        alone = host.last_effect(ReadPrompt, call).quiet
        # Twice the time to prefill 3,000 tokens at the assumed 25,000 tokens/s.
        self.assertGreater(alone, 2 * 3_000 / 25_000.0)
        self.assertLess(alone, 1.0)
        other = host.ask("stream")
        host.answer_hold(other)
        self.assertGreater(host.last_effect(ReadPrompt, other).quiet, alone)

    def test_no_place_is_reserved_while_prompts_queue_up(self) -> None:
        host = Host(endpoints=(*ENDPOINTS, *(engine(f"d{n}", DECODE) for n in range(2, 6))))
        calls = [host.ask("stream") for _ in range(20)]
        for call in calls:
            if host.effects_of(TakeHold, call):
                host.answer_hold(call)
        # Seconds of queued prefills: at most the limit of 0.8 s and one more prompt.
        reading = sum(one.reading for one in host.state["places"].own_loads.values())
        self.assertLess(reading / 25_000.0, 0.8 + 3_000 / 25_000.0)


class TestUnreachable(unittest.TestCase):
    """An endpoint that takes no connection gets no work for a while."""

    def test_the_next_request_goes_elsewhere_at_once(self) -> None:
        host = Host()
        call = host.ask("safe")
        dead = host.last_effect(Forward, call).endpoint
        host.fail(call, UNREACHABLE)
        for _ in range(5):
            self.assertNotEqual(host.last_effect(Forward, host.ask("safe")).endpoint, dead)

    def test_most_endpoints_may_be_unreachable(self) -> None:
        """The limit on ejected endpoints doesn't apply: most of a cut-off zone can't be reached."""
        host = Host(endpoints=(*ENDPOINTS, plain("s2"), plain("s3")))
        for _ in range(3):
            call = host.ask("safe")
            host.fail(call, UNREACHABLE)
        unusable = [name for name in ("s0", "s1", "s2", "s3") if not self._is_usable(host, name)]
        self.assertGreaterEqual(len(unusable), 3)

    def _is_usable(self, host: Host, name: str) -> bool:
        known = host.state["health"].endpoints.get(name)
        return known is None or known.phase.value == "usable"


class TestPrefillByDecodeEngines(unittest.TestCase):
    """Decode engines prefill prompts themselves if prefill engines are lost or full.

    In incident inc-8a34, only one of three prefill engines was left for 13 s. Prompts queued up
    there, and calls were refused while decode engines were half empty.
    """

    def test_a_call_that_waits_for_a_prefill_engine_goes_to_an_idle_decode_engine(self) -> None:
        host = Host()
        calls = [host.ask("stream") for _ in range(12)]
        for call in calls:
            if host.effects_of(TakeHold, call):
                host.answer_hold(call)
        queued = [call for call in calls if not host.effects_of(TakeHold, call)]
        self.assertTrue(queued)
        host.run(0.3)
        chosen_engines = [
            host.last_effect(TakeHold, call).endpoint
            for call in queued
            if host.effects_of(TakeHold, call)
        ]
        self.assertEqual(sorted(chosen_engines), ["d0", "d1"])  # One prompt at a time each.
        call = next(call for call in queued if host.effects_of(TakeHold, call))
        host.answer_hold(call)
        self.assertEqual(host.effects_of(ReadPrompt, call), [])
        self.assertEqual(host.last_effect(Forward, call).handle, "")
        host.answer(call, streams=True)
        host.run(0.04)
        self.assertEqual(sum(bool(host.effects_of(TakeHold, call)) for call in queued), 3)

    def test_without_prefill_engines_no_call_waits_for_one(self) -> None:
        host = Host(endpoints=(engine("d0", DECODE), engine("d1", DECODE)))
        calls = [host.ask("stream") for _ in range(3)]
        self.assertEqual([len(host.effects_of(TakeHold, call)) for call in calls], [1, 1, 0])

    def test_a_caller_that_leaves_lets_another_prompt_be_prefilled(self) -> None:
        host = Host(endpoints=(engine("d0", DECODE),))
        first, second = host.ask("stream"), host.ask("stream")
        host.feed(_events.ForwardLeft, call_id=first)
        self.assertEqual(len(host.effects_of(TakeHold, second)), 1)


class TestSimpleEngines(unittest.TestCase):
    """Some deployments have engines that reserve no places or have no stages."""

    def test_without_holds_a_call_only_counts_in_the_load(self) -> None:
        host = Host()
        host.feed(_events.RoutesRead, table=table(2, hold_time=0.0))
        call = host.ask("stream")
        self.assertEqual(host.effects_of(TakeHold, call), [])
        host.answer_prefill(call)
        self.assertEqual(host.last_effect(Forward, call).hold, "")
        host.answer(call, streams=True)
        self.assertEqual(sum(one.running for one in host.state["places"].own_loads.values()), 1)

    def test_without_stages_an_engine_does_both(self) -> None:
        host = Host(endpoints=(engine("e0", ""), engine("e1", "")))
        call = host.ask("stream")
        host.answer_hold(call)
        self.assertEqual(host.effects_of(ReadPrompt, call), [])
        self.assertIn(host.last_effect(Forward, call).endpoint, ("e0", "e1"))


class TestProbe(unittest.TestCase):
    """Only one generation at a time probes whether an ejected engine takes connections again.

    In an incident, each probe of an engine that was cut off delayed several calls by 0.4 s.
    """

    def eject_engine(self, host: Host) -> str:
        """Let an engine be ejected, wait until a probe of it is due, and return its name."""
        call = host.ask("stream")
        engine_ = host.last_effect(TakeHold, call).endpoint
        host.answer_hold(call, UNREACHABLE)
        host.feed(_events.ForwardLeft, call_id=call)
        host.run(1.01)
        return engine_

    def test_one_call_probes_at_a_time(self) -> None:
        host = Host()
        engine_ = self.eject_engine(host)
        calls = [host.ask("stream") for _ in range(4)]
        tried = [call for call in calls if host.last_effect(TakeHold, call).endpoint == engine_]
        self.assertEqual(len(tried), 1)
        host.answer_hold(tried[0])
        host.answer_prefill(tried[0])
        later = host.ask("stream")
        self.assertEqual(host.last_effect(TakeHold, later).endpoint, engine_)

    def test_one_call_probes_a_prefill_engine(self) -> None:
        host = Host(endpoints=(*ENDPOINTS, engine("p1", PREFILL)))
        call = host.ask("stream")
        host.answer_hold(call)
        ejected_engine = host.last_effect(ReadPrompt, call).endpoint
        host.answer_prefill(call, UNREACHABLE)
        host.feed(_events.ForwardLeft, call_id=call)
        host.run(1.01)
        calls = [host.ask("stream") for _ in range(6)]
        for one in calls:
            host.answer_hold(one)
        tried = [host.last_effect(ReadPrompt, one).endpoint for one in calls].count(ejected_engine)
        self.assertEqual(tried, 1)


class TestUnstable(unittest.TestCase):
    """An engine that breaks streams off is the last choice for new streams.

    In an incident, one engine reset 16 streams before their first event within 4 s, and each of
    their prompts was prefilled again.
    """

    def test_the_next_stream_goes_elsewhere_though_memory_is_free(self) -> None:
        host = Host()
        call = host.start_stream()
        bad = host.last_effect(Forward, call).endpoint
        host.fail(call, BROKEN)
        host.feed(_events.ForwardLeft, call_id=call)
        others = [host.ask("stream") for _ in range(3)]
        for other in others:
            self.assertNotEqual(host.last_effect(TakeHold, other).endpoint, bad)
        host.run(1.6)
        self.assertEqual(host.last_effect(TakeHold, host.ask("stream")).endpoint, bad)

    def test_an_endpoint_that_does_not_answer_is_chosen_last(self) -> None:
        """In an incident, requests kept going to a cut-off endpoint and timed out there."""
        host = Host()
        call = host.ask("unsafe")
        silent = host.last_effect(Forward, call).endpoint
        host.run(0.85)
        for _ in range(5):
            self.assertNotEqual(host.last_effect(Forward, host.ask("unsafe")).endpoint, silent)

    def test_an_unstable_engine_is_used_if_no_other_has_room(self) -> None:
        host = Host(endpoints=(engine("p0", PREFILL), engine("d0", DECODE)))
        call = host.start_stream()
        host.fail(call, BROKEN)
        self.assertEqual(len(host.effects_of(TakeHold, call)), 2)

    def test_error_answers_do_not_make_an_endpoint_unstable(self) -> None:
        """Some plain requests fail at any endpoint, so a failure says nothing about this one."""
        host = Host()
        call = host.ask("safe")
        first = host.last_effect(Forward, call).endpoint
        host.answer(call, 500)
        self.assertEqual(host.state["places"].unstable_until, {})
        self.assertNotEqual(host.last_effect(Forward, call).endpoint, first)


class TestStop(unittest.TestCase):
    """A graceful shutdown cuts no stream off, and starts none that could not end in time."""

    def test_running_streams_are_finished(self) -> None:
        host = Host()
        call = host.start_stream()
        host.feed(_events.StopAsked)
        host.run(4.0)
        self.assertTrue(host.is_open(call))
        self.assertFalse(any(type(one).__name__ == "EndProcess" for one in host.effects))
        host.feed(_events.ForwardAnswered, call_id=call)
        host.run(0.2)
        self.assertTrue(any(type(one).__name__ == "EndProcess" for one in host.effects))

    def test_a_stream_that_could_not_finish_is_refused(self) -> None:
        host = Host()
        host.feed(_events.StopAsked)
        call = host.ask("stream", length_hint=2_000)
        self.assertEqual(host.refusal(call).reason.code, "stopping")
        self.assertEqual(host.refusal(call).verdict, Verdict.NOT_RUN)

    def test_stream_that_its_caller_cannot_resume_is_counted_at_its_longest(self) -> None:
        """A stream longer than its hint was cut off at the end of the stop."""
        host = Host()
        host.feed(_events.StopAsked)
        self.assertIsNone(host.refusal(host.ask("draft", length_hint=60, max_tokens=60)))
        call = host.ask("draft", length_hint=60, max_tokens=2_040)
        self.assertEqual(host.refusal(call).reason.code, "stopping")

    def test_after_the_notice_only_what_surely_ends_in_time_is_accepted(self) -> None:
        """Streams accepted 3.5 s after the signal were cut off 4 s later."""
        host = Host()
        host.feed(_events.StopAsked)
        running = host.start_stream()
        host.run(3.5)
        for path in ("stream", "draft"):
            call = host.ask(path, length_hint=60, max_tokens=60)
            self.assertEqual(host.refusal(call).reason.code, "stopping")
        self.assertIsNone(host.refusal(host.ask("stream", length_hint=60, seconds=3.0)))
        self.assertIsNone(host.refusal(host.ask("unsafe")))
        host.run(3.8)
        self.assertEqual(host.refusal(host.ask("unsafe")).reason.code, "stopping")
        self.assertTrue(host.is_open(running))

    def test_what_is_not_answered_is_refused_before_the_end(self) -> None:
        """Requests that an engine held for long ended with their connection, without an answer."""
        host = Host(endpoints=(engine("p0", PREFILL), engine("d0", DECODE)))
        running = host.start_stream()
        sent = host.ask("stream", length_hint=60)
        host.answer_hold(sent)
        host.answer_prefill(sent)
        host.feed(_events.StopAsked)
        for name in ("p0", "d0"):
            host.drop(name)
        host.run(7.4)
        self.assertIs(host.refusal(sent).verdict, Verdict.MAY_HAVE_RUN)
        self.assertNotIn(host.refusal(sent).reason.status, (408, 421, 429, 503))
        self.assertTrue(host.is_open(running))
        self.assertIsNone(host.refusal(running))

    def test_short_calls_are_served_until_the_load_balancer_reacts(self) -> None:
        host = Host()
        host.feed(_events.StopAsked)
        host.run(2.0)
        self.assertTrue(host.effects_of(Forward, host.ask("unsafe")))


class TestErrorAfterABreak(unittest.TestCase):
    """What follows a stream that has begun is the rest of that stream, or the connection is cut."""

    ANSWERS = ((200, False), (206, True), (206, False), (302, False), (404, False), (500, False))

    def test_no_other_answer_is_relayed(self) -> None:
        for path in ("stream", "feed"):
            for status, streams in self.ANSWERS:
                with self.subTest(path=path, status=status, streams=streams):
                    self.assertEqual(self._relays_after_a_break(path, status, streams), 1)

    def _relays_after_a_break(self, path: str, status: int, streams: bool) -> int:
        """Break a stream off, answer each further try so, and return how many were relayed."""
        host = Host()
        if path == "stream":
            call = host.start_stream()
        else:
            call = host.ask(path)
            host.answer(call, streams=True)
        host.fail(call, BROKEN, events=3)
        for _ in range(5):
            if not host.is_open(call):
                break
            if host.state["forwarding"].calls[call].phase == "holding":
                host.answer_hold(call)
            if host.state["forwarding"].calls[call].phase == "reading":
                host.answer_prefill(call)
            host.answer(call, status, streams=streams)
        self.assertTrue(host.effects_of(CutForward, call))
        return len(host.effects_of(Relay, call))


class TestServiceGone(unittest.TestCase):
    """A service may vanish from the configuration while engines are silent and requests wait."""

    def setUp(self) -> None:
        """Let a stream run, one be prefilled, and three wait as engines hold no more places."""
        self.host = Host()
        self.running = self.host.start_stream()
        self.held = self.host.ask("stream")
        self.host.answer_hold(self.held)
        self.waiting = [self.host.ask(path) for path in ("stream", "draft", "stream")]
        for call in self.waiting:
            while self.host.state["forwarding"].calls[call].phase == "holding":
                self.host.answer_hold(call, REFUSED)
        before = table(2)
        moved = [one for one in before.routes if one.services[0][0] != MODEL]
        services = tuple(one for one in before.services if one.name != MODEL)
        self.host.feed(
            _events.RoutesRead, table=RouteTable(version=2, routes=tuple(moved), services=services)
        )

    def test_waiting_requests_are_refused_at_once(self) -> None:
        """They were never answered: the decision failed whenever it was due."""
        for call in self.waiting:
            refusal = self.host.refusal(call)
            self.assertEqual(refusal.reason.code, "service_gone")
            self.assertIs(refusal.verdict, Verdict.NOT_RUN)
            self.assertGreater(refusal.retry_after, 0)
            self.assertFalse(self.host.is_open(call))

    def test_requests_under_way_go_on_to_their_end(self) -> None:
        self.host.answer_prefill(self.held)
        self.host.answer(self.held, streams=True)
        for call in (self.running, self.held):
            number = self.host.last_effect(Forward, call).number
            endpoint = self.host.last_effect(Forward, call).endpoint
            self.host.feed(
                _events.StreamDone, call_id=call, endpoint=endpoint, number=number, events=60
            )
            self.host.feed(_events.ForwardAnswered, call_id=call)
            self.assertIsNone(self.host.refusal(call))
            self.assertFalse(self.host.is_open(call))
        self.assertEqual(self.host.state["places"].own_loads, {})

    def test_stream_that_breaks_off_goes_on_at_an_engine_that_is_left(self) -> None:
        self.host.run(0.1)  # Until the engines that refused a place are asked again.
        self.host.fail(self.running, BROKEN, events=3)
        self.assertEqual(len(self.host.effects_of(TakeHold, self.running)), 2)
        self.host.answer_hold(self.running)
        self.assertTrue(self.host.is_open(self.running))

    def test_requests_to_other_services_notice_nothing(self) -> None:
        """Requests to all services were left without an answer while one waited for this one."""
        for _ in range(6):
            call = self.host.ask("unsafe")
            self.host.answer(call, 503, not_run=True)
            self.host.answer(call)
            self.assertTrue(self.host.effects_of(Relay, call))

    def test_service_that_is_listed_again_is_served(self) -> None:
        self.host.feed(_events.RoutesRead, table=table(3))
        self.host.run(0.1)
        self.assertTrue(self.host.effects_of(TakeHold, self.host.ask("stream")))


class TestRoutesInForce(unittest.TestCase):
    """A host never goes back to an older version of the routes."""

    def test_an_older_version_changes_nothing(self) -> None:
        host = Host()
        host.feed(_events.RoutesRead, table=table(5))
        host.feed(_events.RoutesRead, table=table(3))
        self.assertEqual(host.state["routes"].table.version, 5)
