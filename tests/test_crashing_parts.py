"""Tests of how one host decides which part of prompts ends endpoints."""

import unittest

from wasabiwick import _events
from wasabiwick._adapters._datagrams import UdpDatagrams
from wasabiwick._effects import LogLine
from wasabiwick._effects_forwarding import CheckEnded, SaveFindings, TellLoad
from wasabiwick._errors import ENDPOINT_SILENT, PART_BLOCKED, REQUEST_BLOCKED, Failure
from wasabiwick._fingerprints import PREFIX
from wasabiwick._forwarding import Crash, Findings, SoundPart
from wasabiwick._handlers import crash_watch, crashing_parts, findings_saving, neighbours
from wasabiwick._rendezvous import ranked
from wasabiwick._verdict import Verdict

from ._forward import (
    BROKEN,
    DECODE,
    MODEL,
    PREFILL,
    REFUSED,
    Forward,
    Host,
    ReadPrompt,
    TakeHold,
    engine,
    plain,
)
from ._processes import until

ENGINES = (engine("p0", PREFILL),) + tuple(engine(f"d{n}", DECODE) for n in range(8))
BAD, OTHER = f"{PREFIX}bad", f"{PREFIX}other"  # Fingerprints.
UNKNOWN = Failure(reason=ENDPOINT_SILENT, verdict=Verdict.MAY_HAVE_RUN, detail="no answer")


def crash(endpoint: str, *parts: str, at: float = 100.0, born: int = 1) -> Crash:
    """Return the crash of an engine."""
    return Crash(endpoint=endpoint, born=born, service=MODEL, parts=parts, at=at)


def tell(host: Host, *crashes: Crash, sound: tuple[str, ...] = (), sender: str = "b") -> None:
    """Let a host hear another host's findings."""
    neighbour = host.state["neighbours"].hosts.get(sender)
    told = TellLoad(
        addresses=(),
        sequence=neighbour.sequence + 1 if neighbour else 1,
        loads={},
        stopping=False,
        busy={},
        crashes=crashes,
        sound=tuple(SoundPart(service=MODEL, part=part, at=host.now) for part in sound),
    )
    host.hear(sender, told)


def is_refused(host: Host, *parts: str, path: str = "stream") -> bool:
    """Return whether a new request with these parts is refused as blocked."""
    refusal = host.refusal(host.ask(path, parts=parts))
    return refusal is not None and refusal.reason is PART_BLOCKED


def is_request_refused(host: Host, *fingerprints: str, parts: tuple[str, ...] = ()) -> bool:
    """Return whether a request with these fingerprints is refused as blocked."""
    refusal = host.refusal(host.ask("stream", parts=parts, fingerprints=fingerprints))
    return refusal is not None and refusal.reason is REQUEST_BLOCKED


class TestWhichRequestIsBlocked(unittest.TestCase):
    """A request is blocked that comes again and ends endpoints, and none that was beside it."""

    def setUp(self) -> None:
        self.host = Host(endpoints=ENGINES)

    def test_request_that_ended_enough_endpoints_is_blocked(self) -> None:
        for number in range(3):
            self.assertFalse(is_request_refused(self.host, BAD))
            tell(self.host, crash(f"x{number}", BAD))
        self.assertTrue(is_request_refused(self.host, BAD))
        self.assertFalse(is_request_refused(self.host, OTHER))

    def test_requests_that_were_in_the_same_crashes_are_each_blocked(self) -> None:
        tell(self.host, *(crash(f"x{number}", BAD, OTHER) for number in range(3)))
        self.assertTrue(is_request_refused(self.host, BAD))
        self.assertTrue(is_request_refused(self.host, OTHER))

    def test_request_beside_the_one_that_ended_endpoints_is_not_blocked(self) -> None:
        tell(self.host, *(crash(f"x{number}", BAD, OTHER) for number in range(3)))
        tell(self.host, crash("x3", BAD))
        self.assertTrue(is_request_refused(self.host, BAD))
        self.assertFalse(is_request_refused(self.host, OTHER))

    def test_shared_parts_of_a_blocked_request_are_not_blocked(self) -> None:
        tell(self.host, *(crash(f"x{number}", "a1", BAD) for number in range(4)))
        tell(self.host, crash("x4", "a1", OTHER))
        self.assertTrue(is_request_refused(self.host, BAD, parts=("a1",)))
        self.assertFalse(is_refused(self.host, "a1"))

    def test_part_of_different_requests_is_blocked_although_one_came_again(self) -> None:
        tell(self.host, *(crash(f"x{number}", "a1", BAD) for number in range(4)))
        tell(self.host, *(crash(f"y{number}", "a1", f"{PREFIX}{number}") for number in range(2)))
        self.assertTrue(is_refused(self.host, "a1"))

    def test_other_queries_to_the_path_are_served(self) -> None:
        tell(self.host, *(crash(f"x{number}", BAD, f"{BAD}:1") for number in range(3)))
        self.assertTrue(is_request_refused(self.host, BAD, f"{BAD}:1"))
        self.assertFalse(is_request_refused(self.host, BAD, f"{BAD}:2"))

    def test_request_that_comes_with_another_query_each_time_is_blocked(self) -> None:
        tell(self.host, *(crash(f"x{number}", BAD, f"{BAD}:{number}") for number in range(3)))
        self.assertTrue(is_request_refused(self.host, BAD, f"{BAD}:9"))

    def test_request_that_was_answered_after_all_is_served(self) -> None:
        tell(self.host, *(crash(f"x{number}", BAD) for number in range(2)))
        call = self.host.start_stream(fingerprints=(BAD,))
        number = self.host.last_effect(Forward, call).number
        done = {"endpoint": "d0", "number": number, "events": 5}
        self.host.feed(_events.StreamDone, call_id=call, **done)
        tell(self.host, crash("x2", BAD))
        self.assertFalse(is_request_refused(self.host, BAD))

    def test_fingerprints_of_sound_requests_are_not_remembered(self) -> None:
        call = self.host.start_stream(fingerprints=(OTHER,))
        done = {"endpoint": "d0", "number": 1, "events": 5}
        self.host.feed(_events.StreamDone, call_id=call, **done)
        self.assertEqual(len(self.host.state["crashing_parts"].sound), 0)


class TestLogOfRequests(unittest.TestCase):
    """Log lines show at which endpoints a request was that came again."""

    def test_sent_and_failed_tries_of_plain_calls_name_the_fingerprint(self) -> None:
        host = Host(endpoints=(plain("s0"), plain("s1")))
        host.fail(host.ask("safe", fingerprints=(BAD, f"{BAD}:1")), BROKEN)
        lines = {one.event: one.fields for one in host.effects if isinstance(one, LogLine)}
        self.assertEqual(lines["sent"]["fingerprint"], f"{BAD}:1")
        self.assertEqual(lines["try_failed"]["parts"], f"{BAD},{BAD}:1")
        self.assertEqual(lines["try_failed"]["cause"], BROKEN.detail)


class TestWhichPartIsBlocked(unittest.TestCase):
    """A part is blocked that explains several crashes, unless it was seen to be sound."""

    def setUp(self) -> None:
        self.host = Host(endpoints=ENGINES)

    def test_part_of_enough_crashes_is_blocked(self) -> None:
        tell(self.host, crash("d0", "a", "bad"), crash("d1", "b", "bad"))
        self.assertFalse(is_refused(self.host, "c", "bad"))
        tell(self.host, crash("d2", "c", "bad"))
        self.assertTrue(is_refused(self.host, "e", "bad"))
        self.assertFalse(is_refused(self.host, "a", "b", "c"))

    def test_one_engine_counts_once_however_many_streams_broke_off(self) -> None:
        for _ in range(5):
            tell(self.host, crash("d0", "a"))
        self.assertFalse(is_refused(self.host, "a"))

    def test_engine_that_started_again_under_its_name_counts_again(self) -> None:
        tell(self.host, *(crash("d0", "a", born=number) for number in range(3)))
        self.assertTrue(is_refused(self.host, "a"))

    def test_parts_that_always_came_together_are_blocked_only_together(self) -> None:
        tell(self.host, *(crash(f"d{number}", "first", "bad") for number in range(3)))
        self.assertTrue(is_refused(self.host, "first", "bad"))
        self.assertFalse(is_refused(self.host, "first"))

    def test_first_part_of_many_crashes_excuses_what_it_explains(self) -> None:
        tell(self.host, *(crash(f"d{number}", "bad", f"f{number % 2}") for number in range(4)))
        self.assertTrue(is_refused(self.host, "bad"))
        self.assertFalse(is_refused(self.host, "f0", "f1"))

    def test_sound_part_is_never_blocked(self) -> None:
        tell(self.host, sound=("first",))
        tell(self.host, *(crash(f"d{number}", "first") for number in range(5)))
        self.assertFalse(is_refused(self.host, "first"))

    def test_block_ends_once_the_part_is_seen_to_be_sound(self) -> None:
        tell(self.host, *(crash(f"d{number}", "first") for number in range(3)))
        self.assertTrue(is_refused(self.host, "first"))
        tell(self.host, sound=("first",))
        self.assertFalse(is_refused(self.host, "first"))

    def test_part_that_was_sound_long_ago_can_be_blocked(self) -> None:
        tell(self.host, sound=("first",))
        self.host.run(crashing_parts.SOUND_TIME_S + 1.0)
        late = [crash(f"d{number}", "first", at=self.host.now) for number in range(3)]
        tell(self.host, *late)
        self.assertTrue(is_refused(self.host, "first"))

    def test_block_ends_when_its_crashes_are_old(self) -> None:
        tell(self.host, *(crash(f"d{number}", "bad") for number in range(3)))
        self.host.run(crashing_parts.CRASH_KEEP_S + 1.0)
        self.assertFalse(is_refused(self.host, "bad"))

    def test_crashes_of_another_service_do_not_count(self) -> None:
        self.host.read_list(plain("s0"))
        tell(self.host, *(crash(f"d{number}", "bad") for number in range(3)))
        self.assertFalse(is_refused(self.host, "bad", path="safe"))

    def test_memory_stays_bounded(self) -> None:
        for number in range(3):
            tell(self.host, crash(f"x{number}", "bad"))
        for number in range(3 * crashing_parts.MAX_CRASHES):
            tell(self.host, crash(f"e{number}", *(f"p{number}-{one}" for one in range(100))))
        crashes = self.host.state["crashing_parts"].crashes
        self.assertLessEqual(len(crashes), crashing_parts.MAX_CRASHES)
        self.assertLessEqual(
            max(len(one.parts) for one in crashes.values()), crashing_parts.MAX_PARTS
        )
        self.assertTrue(is_refused(self.host, "bad"))

    def test_remembered_sound_parts_stay_bounded(self) -> None:
        for number in range(crashing_parts.MAX_SOUND + 50):
            crashing_parts.add_sound(self.host.state, MODEL, (f"p{number}",), self.host.now)
        self.assertEqual(len(self.host.state["crashing_parts"].sound), crashing_parts.MAX_SOUND)


class TestBlockedRequests(unittest.TestCase):
    """Once a part is blocked, no request with it reaches an engine."""

    def setUp(self) -> None:
        self.host = Host(endpoints=ENGINES)
        self.crashes = tuple(crash(f"x{number}", "bad") for number in range(3))

    def test_refusal_says_when_to_come_back(self) -> None:
        tell(self.host, *self.crashes)
        refusal = self.host.refusal(self.host.ask("stream", parts=("bad",)))
        self.assertEqual(refusal.verdict, Verdict.NOT_RUN)
        self.assertEqual(refusal.retry_after, crash_watch.BLOCKED_RETRY_AFTER_S)

    def test_request_that_waits_for_a_place_is_refused(self) -> None:
        call = self.host.ask("stream", parts=("bad",))
        tell(self.host, *self.crashes)
        self.assertIs(self.host.refusal(call).reason, PART_BLOCKED)
        self.assertFalse(self.host.is_open(call))

    def test_request_at_an_engine_is_dropped_as_one_that_may_have_run(self) -> None:
        call = self.host.ask("stream", parts=("bad",))
        self.host.answer_hold(call)
        self.host.answer_prefill(call)
        self.assertEqual(len(self.host.effects_of(Forward, call)), 1)
        tell(self.host, *self.crashes)
        self.assertEqual(self.host.refusal(call).verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.host.refusal(call).reason.status, 502)

    def test_broken_stream_does_not_go_on_elsewhere(self) -> None:
        call = self.host.start_stream(parts=("bad",))
        tell(self.host, *self.crashes[:2])
        self.host.fail(call, BROKEN)
        holds = len(self.host.effects_of(TakeHold, call))
        self.host.feed(
            _events.EndChecked,
            endpoint=self.host.last_effect(Forward, call).endpoint,
            has_ended=True,
        )
        self.assertFalse(self.host.is_open(call))
        self.assertEqual(len(self.host.effects_of(TakeHold, call)), holds)

    def test_stream_whose_events_come_is_not_cut_off(self) -> None:
        call = self.host.start_stream(parts=("bad",))
        tell(self.host, *self.crashes)
        self.assertTrue(self.host.is_open(call))


class TestTrial(unittest.TestCase):
    """One request with a blocked part passes later, and shows whether the block is right.

    A first part that is new when engines are lost for other reasons was blocked for an hour.
    """

    def setUp(self) -> None:
        self.host = Host(endpoints=ENGINES)
        tell(self.host, *(crash(f"x{number}", "new") for number in range(3)))

    def pass_trial(self) -> str:
        """Let time pass until a trial is due, and send it up to its decode engine."""
        self.host.run(crashing_parts.TRIAL_AFTER_S + 0.1)
        call = self.host.ask("stream", parts=("new",))
        self.host.answer_hold(call)
        return call

    def test_one_request_passes_after_a_while(self) -> None:
        self.assertTrue(is_refused(self.host, "new"))
        call = self.pass_trial()
        self.assertEqual(len(self.host.effects_of(Forward, call)), 1)
        self.assertTrue(is_refused(self.host, "new"))

    def test_trial_that_is_served_ends_the_block(self) -> None:
        call = self.pass_trial()
        self.host.answer(call, streams=True)
        self.host.run(crash_watch.SOUND_AFTER_S)
        self.host.fail(call, BROKEN, events=4)
        self.assertFalse(is_refused(self.host, "new"))

    def test_trial_over_which_an_engine_ends_confirms_the_block(self) -> None:
        call = self.pass_trial()
        self.host.answer(call, streams=True)
        endpoint = self.host.last_effect(Forward, call).endpoint
        self.host.fail(call, BROKEN)
        self.host.feed(_events.EndChecked, endpoint=endpoint, has_ended=True)
        self.assertFalse(self.host.is_open(call))
        self.assertEqual(len(self.host.effects_of(Forward, call)), 1)
        self.host.run(10 * crash_watch.TRIAL_PAUSE_S)
        self.assertTrue(is_refused(self.host, "new"))

    def test_trial_reaches_one_engine_only(self) -> None:
        call = self.pass_trial()
        self.assertEqual(self.host.effects_of(ReadPrompt, call), [])
        self.host.fail(call, BROKEN)
        self.assertFalse(self.host.is_open(call))

    def test_request_that_another_block_refuses_is_no_trial(self) -> None:
        tell(self.host, *(crash(f"y{number}", "bad") for number in range(3)))
        self.host.run(crashing_parts.TRIAL_AFTER_S + 0.1)
        self.assertTrue(is_refused(self.host, "new", "bad"))

    def test_hosts_take_turns(self) -> None:
        first, second = ranked("new", ["a", "b"])
        passed = {}
        for name, other in ((first, second), (second, first)):
            host = Host(name=name, endpoints=ENGINES)
            tell(host, *(crash(f"x{number}", "new") for number in range(3)), sender=other)
            host.run(crashing_parts.TRIAL_AFTER_S + 0.1)
            passed[name] = not is_refused(host, "new")
        self.assertEqual(passed, {first: True, second: False})

    def test_host_that_hears_no_other_keeps_its_turn(self) -> None:
        first, second = ranked("new", ["a", "b"])
        host = Host(name=second, endpoints=ENGINES)
        host.hear(first)
        host.run(neighbours.SILENT_AFTER)
        learn = Findings(
            host=first,
            crashes=tuple(crash(f"x{number}", "new", at=host.now) for number in range(3)),
        )
        host.feed(_events.FindingsRead, findings=(learn,))
        host.run(crashing_parts.TRIAL_AFTER_S + 0.1)
        self.assertTrue(is_refused(host, "new"))
        host.run(crashing_parts.TRIAL_AFTER_S)
        self.assertFalse(is_refused(host, "new"))


class TestWhatCountsAsCrash(unittest.TestCase):
    """A broken answer counts only if its endpoint has ended, and had just begun to answer."""

    def setUp(self) -> None:
        self.host = Host(endpoints=ENGINES)
        self.host.hear("b")

    def checks(self) -> list[CheckEnded]:
        """Return the examinations of endpoints."""
        return [one for one in self.host.effects if isinstance(one, CheckEnded)]

    def break_off(self, call: str, *, has_ended: bool, events: int = 0) -> None:
        """Let a call's answer break off, and its endpoint be examined."""
        endpoint = self.host.last_effect(Forward, call).endpoint
        self.host.fail(call, BROKEN, events)
        if self.checks() and self.checks()[-1].endpoint == endpoint:
            self.host.feed(_events.EndChecked, endpoint=endpoint, has_ended=has_ended)

    def crashes(self) -> list[Crash]:
        """Return the crashes that the host knows."""
        return list(self.host.state["crashing_parts"].crashes.values())

    def test_endpoint_that_ended_counts(self) -> None:
        self.break_off(self.host.start_stream("draft", parts=("a", "b")), has_ended=True)
        self.assertEqual([one.parts for one in self.crashes()], [("a", "b")])

    def test_endpoint_that_only_broke_off_does_not_count(self) -> None:
        self.break_off(self.host.start_stream("draft", parts=("a",)), has_ended=False)
        self.assertEqual(self.crashes(), [])

    def test_request_that_was_not_answered_yet_is_suspected(self) -> None:
        call = self.host.ask("draft", parts=("a",))
        self.host.answer_hold(call)
        self.host.answer_prefill(call)
        self.break_off(call, has_ended=True)
        self.assertEqual(len(self.crashes()), 1)

    def test_stream_that_was_written_for_a_while_is_sound(self) -> None:
        call = self.host.start_stream("draft", parts=("a",))
        self.host.run(crash_watch.SOUND_AFTER_S)
        self.break_off(call, has_ended=True, events=3)
        self.assertEqual(self.checks(), [])
        tell(self.host, *(crash(f"x{number}", "a") for number in range(3)))
        self.assertFalse(is_refused(self.host, "a"))

    def test_stream_that_waits_for_its_first_event_is_suspected(self) -> None:
        call = self.host.start_stream("draft", parts=("a",))
        self.host.run(2 * crash_watch.SOUND_AFTER_S)
        self.break_off(call, has_ended=True)
        self.assertEqual(len(self.crashes()), 1)

    def test_stream_without_a_length_that_ends_early_is_suspected(self) -> None:
        call = self.host.ask("draft", parts=("a",))
        self.host.answer_hold(call)
        self.host.answer_prefill(call)
        sent = self.host.last_effect(Forward, call)
        fields = {"call_id": call, "endpoint": sent.endpoint, "number": 1}
        self.host.feed(
            _events.AnswerCame, status=200, not_run=False, streams=True, has_length=False, **fields
        )
        self.host.feed(_events.StreamDone, events=1, **fields)
        self.assertEqual(len(self.checks()), 1)

    def test_streams_of_one_endpoint_are_examined_once(self) -> None:
        host = Host(endpoints=(engine("p0", PREFILL), engine("d0", DECODE)))
        calls = [host.start_stream("draft", parts=(f"a{number}",)) for number in range(3)]
        for call in calls:
            host.fail(call, BROKEN)
        checks = [one for one in host.effects if isinstance(one, CheckEnded)]
        self.assertEqual(len(checks), 1)
        host.feed(_events.EndChecked, endpoint="d0", has_ended=True)
        (found,) = host.state["crashing_parts"].crashes.values()
        self.assertEqual(found.parts, ("a0", "a1", "a2"))

    def test_endpoint_that_could_not_be_examined_is_examined_again(self) -> None:
        call = self.host.start_stream("draft", parts=("a",))
        endpoint = self.host.last_effect(Forward, call).endpoint
        self.host.fail(call, BROKEN)
        for _ in range(crash_watch.MAX_CHECKS + 2):
            self.host.feed(_events.EndChecked, endpoint=endpoint, has_ended=False, failure=UNKNOWN)
            self.host.run(crash_watch.CHECK_INTERVAL_S)
        self.assertEqual(len(self.checks()), crash_watch.MAX_CHECKS)
        self.assertEqual(self.crashes(), [])

    def test_refusal_is_no_sign_of_a_crash(self) -> None:
        call = self.host.start_stream("draft", parts=("a",))
        self.host.fail(call, REFUSED)
        self.assertEqual(self.checks(), [])

    def test_plain_answers_count_too(self) -> None:
        self.host.read_list(plain("s0"), plain("s1"))
        call = self.host.ask("safe", parts=("a",))
        self.break_off(call, has_ended=True)
        self.assertEqual(len(self.crashes()), 1)
        self.host.answer(call)
        self.assertTrue(self.host.state["crashing_parts"].sound)


class TestSharing(unittest.TestCase):
    """Hosts tell each other what they found, and keep it in the store."""

    def setUp(self) -> None:
        self.host = Host(endpoints=ENGINES)
        self.host.hear("b")
        self.host.run(0.1)

    def find(self, *parts: str) -> None:
        """Let the host see an engine end."""
        call = self.host.start_stream("draft", parts=parts)
        endpoint = self.host.last_effect(Forward, call).endpoint
        self.host.fail(call, BROKEN)
        self.host.feed(_events.EndChecked, endpoint=endpoint, has_ended=True)

    def told(self) -> list[TellLoad]:
        """Return the datagrams that tell findings."""
        sent = [one for one in self.host.effects if isinstance(one, TellLoad)]
        return [one for one in sent if one.crashes or one.sound]

    def saved(self) -> list[SaveFindings]:
        """Return the saves."""
        return [one for one in self.host.effects if isinstance(one, SaveFindings)]

    def add_crash(self, endpoint: str) -> None:
        """Let the host find that an engine has ended."""
        crashing_parts.add_own_crash(self.host.state, crash(endpoint, "a", at=self.host.now))

    def restore(self, *findings: Findings) -> None:
        """Let the host read what hosts saved."""
        self.host.feed(_events.FindingsRead, findings=findings, whole=True)

    def test_crash_is_told_soon_and_several_times(self) -> None:
        self.find("a")
        self.host.run(0.2)
        self.assertEqual(len(self.told()), crashing_parts.TELLS)

    def test_host_that_was_silent_is_told_again(self) -> None:
        self.find("a")
        self.host.run(6.0)
        before = len(self.told())
        self.host.state["neighbours"].hosts["b"].sequence = 0
        self.host.hear("b")
        self.host.run(0.2)
        self.assertEqual(len(self.told()), before + 1)

    def test_sound_part_is_told_once_another_host_suspects_it(self) -> None:
        call = self.host.start_stream("draft", parts=("a",))
        self.host.run(2.0)
        self.host.fail(call, BROKEN, events=2)
        self.assertEqual(self.told(), [])
        tell(self.host, crash("x1", "a", at=self.host.now))
        self.host.run(0.2)
        self.assertEqual([one.part for one in self.told()[0].sound], ["a"])

    def test_sound_part_is_told_again_for_a_much_later_crash(self) -> None:
        for _ in range(2):
            call = self.host.start_stream("draft", parts=("a",))
            self.host.run(2.0)
            self.host.fail(call, BROKEN, events=2)
            before = len(self.told())
            tell(self.host, crash(f"x{before}", "a", at=self.host.now))
            self.host.run(crashing_parts.SOUND_TIME_S + 1.0)
            self.assertGreater(len(self.told()), before)

    def test_stream_under_way_shows_that_its_parts_are_sound(self) -> None:
        call = self.host.start_stream("draft", parts=("a",))
        sent = self.host.last_effect(Forward, call)
        fields = {"call_id": call, "endpoint": sent.endpoint, "number": sent.number}
        self.host.feed(_events.StreamMoved, events=1, **fields)
        self.host.run(crash_watch.SOUND_AFTER_S + 0.1)
        tell(self.host, *(crash(f"x{number}", "a") for number in range(3)))
        self.assertFalse(is_refused(self.host, "a"))

    def test_findings_are_saved_when_they_change(self) -> None:
        self.restore()
        self.host.run(1.0)
        self.host.feed(_events.FindingsSaved, failure=None)
        self.find("a")
        self.host.run(findings_saving.SAVE_INTERVAL_S * 2)
        self.host.feed(_events.FindingsSaved, failure=None)
        saves = self.saved()
        self.assertEqual([one.parts for one in saves[-1].findings.crashes], [("a",)])
        self.host.run(10.0)
        self.assertEqual(self.saved(), saves)

    def test_first_finding_is_saved_at_once_in_a_large_fleet(self) -> None:
        for number in range(300):
            self.host.hear(f"h{number}")
        self.restore()
        self.host.run(1.0)
        self.host.feed(_events.FindingsSaved, failure=None)
        self.host.run(4.0)
        self.add_crash("x0")
        before = len(self.saved())
        self.host.run(findings_saving.SAVE_INTERVAL_S)
        self.assertEqual(len(self.saved()), before + 1)
        self.host.feed(_events.FindingsSaved, failure=None)
        self.add_crash("x1")
        self.host.run(1.0)
        self.assertEqual(len(self.saved()), before + 1)
        self.host.run(3.0)
        self.assertEqual(len(self.saved()), before + 2)

    def test_failed_save_is_repeated(self) -> None:
        self.restore()
        self.find("a")
        self.host.run(1.0)
        before = len(self.saved())
        self.host.feed(_events.FindingsSaved, failure=BROKEN)
        self.host.run(1.0)
        self.assertEqual(len(self.saved()), before + 1)

    def test_nothing_is_saved_before_the_own_findings_were_read(self) -> None:
        self.find("a")
        self.host.run(2.0)
        self.assertEqual(self.saved(), [])

    def test_host_that_starts_keeps_what_it_had_saved(self) -> None:
        own = Findings(host="a", crashes=(crash("x0", "bad"), crash("x1", "bad")))
        other = Findings(host="b", crashes=(crash("x2", "bad"),))
        self.restore(own, other)
        self.assertTrue(is_refused(self.host, "bad"))
        self.host.run(1.0)
        self.assertEqual(self.saved()[-1].findings.crashes, own.crashes)

    def test_host_without_findings_saves_nothing(self) -> None:
        self.restore()
        self.host.run(5.0)
        self.assertEqual(self.saved(), [])


class TestDatagrams(unittest.IsolatedAsyncioTestCase):
    """Findings pass between hosts unchanged."""

    async def test_findings_pass_unchanged(self) -> None:
        events: list[_events.LoadTold] = []

        class Receiver:
            post = staticmethod(events.append)
            now = staticmethod(lambda: 500.0)

        sockets = [UdpDatagrams("127.0.0.1:0") for _ in range(2)]
        for one in sockets:
            await one.open(Receiver())
            self.addCleanup(one.close)
        told = TellLoad(
            addresses=(sockets[1].address,),
            sequence=1,
            loads={},
            stopping=False,
            busy={},
            crashes=(crash("d0", "a", "b", at=499.0),),
            sound=(SoundPart(service=MODEL, part="c", at=498.0),),
        )
        sockets[0].send_load(Host().state.owner, "zone-a", told)

        async def has_arrived() -> bool:
            return bool(events)

        await until(has_arrived)
        self.assertEqual(events[0].crashes, told.crashes)
        self.assertEqual(events[0].sound, told.sound)
