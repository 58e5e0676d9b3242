"""Tests of callers that read slowly: what is held for them, and whose doing a cut is."""

import asyncio
import unittest
from unittest import mock

from aiohttp import ClientConnectionResetError

from wasabiwick import _events
from wasabiwick._effects_forwarding import CutForward
from wasabiwick._errors import ENDPOINT_FAILED, UNREAD, Failure, Reason
from wasabiwick._forwarding import Organisation, RouteTable, UnreadAnswer
from wasabiwick._handlers import health, places
from wasabiwick._http1 import BrokenAnswerError
from wasabiwick._performers._tries import Try
from wasabiwick._unread import PAUSE_BYTES, UNCOUNTED_BYTES, UnreadAnswers
from wasabiwick._verdict import Verdict

from ._body_load import LARGE, MEMORY_MB, BodyLoad
from ._forward import DropTry, Forward, Host, table
from ._processes import STOP_TIMEOUT

LIMIT = 1_000_000
LEFT_UNREAD = Failure(reason=UNREAD, verdict=Verdict.MAY_HAVE_RUN, detail="reset")
STALLED = 10.0
MANY_STREAMS = 160
STREAM_TIME_S = 1.5  # For streams to fill what the host holds of them.


def unread(call_id: str, size: int, stalled: float = STALLED) -> UnreadAnswer:
    """Return an answer that waits for its caller."""
    return UnreadAnswer(call_id=call_id, size=size, stalled=stalled)


class TestWhichAnswersAreCut(unittest.TestCase):
    """Replays callers that leave answers unread, beside some that read slowly."""

    def setUp(self) -> None:
        self.host = Host()

    def stream(self, **fields: object) -> str:
        """Begin a stream of a plain service, and return its call."""
        call = self.host.ask("feed", **fields)
        self.host.answer(call, streams=True)
        return call

    def report(self, *answers: UnreadAnswer) -> list[str]:
        """Report answers, and return the calls that are cut off."""
        effects = self.host.feed(_events.AnswersUnread, answers=answers, limit_bytes=LIMIT)
        return [one.call_id for one in effects if isinstance(one, CutForward)]

    def test_within_the_limit_nothing_is_cut_off(self) -> None:
        calls = [self.stream() for _ in range(4)]
        self.assertEqual(self.report(*(unread(call, LIMIT // 4) for call in calls)), [])

    def test_answers_that_are_still_read_go_on_beyond_the_limit(self) -> None:
        """They wait at their endpoint meanwhile; a ready answer is delivered, also late."""
        calls = [self.stream() for _ in range(4)]
        self.assertEqual(self.report(*(unread(call, LIMIT // 2, 0.2) for call in calls)), [])

    def test_what_is_not_read_goes_first_and_only_as_far_as_needed(self) -> None:
        calls = [self.stream() for _ in range(5)]
        stalled = [unread(call, LIMIT // 4) for call in calls[:4]]
        cut = self.report(*stalled, unread(calls[4], LIMIT // 4, 0.2))
        self.assertEqual(len(cut), 1)
        self.assertNotIn(calls[4], cut)
        self.assertEqual([self.host.is_open(call) for call in calls].count(False), 1)
        # Its endpoint stops working on it.
        self.assertTrue(self.host.effects_of(DropTry, cut[0]))

    def test_far_beyond_the_limit_slow_answers_are_cut_off_too(self) -> None:
        calls = [self.stream() for _ in range(5)]
        answers = [unread(call, LIMIT, 0.1 * number) for number, call in enumerate(calls)]
        # The one that took nothing for longest goes first.
        self.assertEqual(self.report(*answers), [calls[4], calls[3], calls[2]])

    def test_the_only_answer_is_not_cut_off_while_it_is_read(self) -> None:
        self.assertEqual(self.report(unread(self.stream(), 5 * LIMIT, 0.2)), [])

    def test_an_answer_whose_call_has_ended_is_cut_off_once_it_is_not_read(self) -> None:
        """Such a call was forgotten at its time-out, and what it held stayed for ever."""
        call = self.stream()
        self.assertEqual(self.report(unread(call, LIMIT), unread("ended", LIMIT)), ["ended"])
        self.assertTrue(self.host.is_open(call))

    def test_the_organisation_that_leaves_most_unread_loses(self) -> None:
        """One with many answers left the room of all others no smaller."""
        names = ("large", "small")
        organisations = tuple(Organisation(name=one, keys=(one,)) for one in names)
        base = table(2)
        fields = {"version": 2, "routes": base.routes, "services": base.services}
        routes = RouteTable(**fields, organisations=organisations)
        self.host.feed(_events.RoutesRead, table=routes)
        small = self.stream(key="small")
        large = [self.stream(key="large") for _ in range(8)]
        answers = [unread(small, LIMIT // 4, 2 * STALLED)]
        answers += [unread(call, LIMIT // 6) for call in large]
        cut = self.report(*answers)
        self.assertTrue(cut)
        self.assertNotIn(small, cut)


class TestEndpointsCut(unittest.TestCase):
    """An endpoint cuts off an answer that its caller leaves unread; it is sound."""

    def broken(self, path: str) -> tuple[Host, str]:
        """Begin a stream whose endpoint cuts it off for that, and return its call."""
        host = Host()
        call = host.ask(path)
        host.answer(call, streams=True)
        host.fail(call, LEFT_UNREAD, events=3)
        return host, call

    def test_it_goes_on_after_the_last_event_where_that_is_allowed(self) -> None:
        host, call = self.broken("feed")
        first, second = host.effects_of(Forward, call)
        self.assertEqual((first.resume, second.resume), (False, True))

    def test_elsewhere_its_caller_sees_that_it_is_not_whole(self) -> None:
        host, call = self.broken("news")
        self.assertEqual(len(host.effects_of(Forward, call)), 1)
        self.assertTrue(host.effects_of(CutForward, call))

    def test_the_endpoint_is_not_blamed(self) -> None:
        """A few slow callers had all endpoints ejected."""
        for path in ("feed", "news"):
            host, call = self.broken(path)
            endpoint = host.effects_of(Forward, call)[0].endpoint
            self.assertFalse(places.is_unstable(host.state, endpoint, host.now))
            self.assertNotIn(endpoint, host.state["health"].endpoints)
            self.assertTrue(health.is_usable(host.state, endpoint))


class CutStream:
    """An endpoint's stream that breaks off behind its first event."""

    status, not_run, streams, has_length, headers = 200, False, True, True, ()

    def __init__(self) -> None:
        self.left = [b"id: 1\ndata: part\n\n"]

    async def chunk(self) -> bytes:
        if not self.left:
            raise BrokenAnswerError("reset")
        return self.left.pop()

    def release(self) -> None:
        pass


class Caller:
    """A call whose caller takes some seconds to read each piece, and the runner that serves it."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.time = 0.0
        self.exchange = mock.Mock(events=0, last_event_id=b"")
        self.decision: asyncio.Future | None = None
        self.failures: list[Failure] = []
        self.forwarded_calls = {"c": self}
        self.ports = mock.Mock()
        self.ports.endpoints.forward = mock.AsyncMock(side_effect=lambda *_, **__: CutStream())

    def now(self) -> float:
        return self.time

    def post(self, event: object) -> None:
        if isinstance(event, _events.AnswerCame):
            self.decision.set_result(event.number)
        elif isinstance(event, _events.TryFailed):
            self.failures.append(event.failure)

    async def start_stream(self, status: int, headers: object) -> None:
        pass

    async def write(self, data: bytes) -> None:
        self.time += self.seconds


class TestWhoseDoing(unittest.IsolatedAsyncioTestCase):
    """A cut counts as the caller's doing only where the caller had held up the answer."""

    async def reason_at(self, seconds: float) -> Reason:
        """Return why a stream broke off whose caller took some seconds to read a piece."""
        caller = Caller(seconds)
        sent = Forward(call_id="c", endpoint="s0", address="", number=1, deadline=60.0)
        await Try(caller, sent).run()
        return caller.failures[0].reason

    async def test_an_answer_that_its_caller_held_up(self) -> None:
        self.assertIs(await self.reason_at(3.0), UNREAD)

    async def test_an_answer_that_its_caller_read(self) -> None:
        self.assertIs(await self.reason_at(0.1), ENDPOINT_FAILED)


class TestCallerLeaves(unittest.IsolatedAsyncioTestCase):
    """A caller that leaves just as a piece is written for it is no error of the program."""

    async def test_the_try_ends_and_lets_its_endpoint_go(self) -> None:
        """Its task failed, which counted as a fault of the host."""
        caller = Caller(0.0)
        answer = mock.Mock(wraps=CutStream(), status=200, streams=True, headers=())
        caller.ports.endpoints.forward = mock.AsyncMock(return_value=answer)
        caller.write = mock.AsyncMock(side_effect=ClientConnectionResetError("closing"))
        sent = Forward(call_id="c", endpoint="s0", address="", number=1, deadline=60.0)
        await Try(caller, sent).run()
        self.assertEqual(caller.failures, [])
        answer.release.assert_called_once()


class Transport:
    """A connection whose other end takes what a test says."""

    def __init__(self) -> None:
        self.waiting = 0

    def get_write_buffer_size(self) -> int:
        return self.waiting


class TestMeters(unittest.IsolatedAsyncioTestCase):
    """What waits for callers is counted, and reported only while it is too much."""

    def setUp(self) -> None:
        self.now = 0.0
        self.reports: list[tuple[UnreadAnswer, ...]] = []
        self.unread = UnreadAnswers(
            limit_bytes=LIMIT, clock=lambda: self.now, report=self.reports.append
        )

    def test_what_is_read_at_once_is_never_reported(self) -> None:
        for number in range(100):
            meter = self.unread.meter(str(number), Transport())
            for _ in range(100):
                meter.add(UNCOUNTED_BYTES)
        self.assertEqual(self.reports, [])

    async def test_what_has_been_read_meanwhile_is_not_reported(self) -> None:
        for number in range(4):
            self.unread.meter(str(number), Transport()).add(LIMIT // 2)
        await asyncio.sleep(0)
        self.assertEqual(self.reports, [])

    async def test_unread_answers_are_reported_with_the_time_since_their_caller_read(self) -> None:
        transports = [Transport(), Transport()]
        meters = [
            self.unread.meter(str(one), transport) for one, transport in enumerate(transports)
        ]
        for meter, transport in zip(meters, transports, strict=True):
            meter.add(LIMIT // 2)
            transport.waiting = LIMIT // 2
        self.now = 5.0
        transports[1].waiting -= 1
        meters[1].measure()
        self.now = 6.0
        meters[0].add(PAUSE_BYTES, behind=PAUSE_BYTES)
        transports[0].waiting += PAUSE_BYTES
        await asyncio.sleep(0)
        ((first, second),) = self.reports
        self.assertEqual((first.stalled, second.stalled), (6.0, 1.0))
        self.assertGreater(first.size, LIMIT // 2)

    async def test_an_answer_that_has_ended_counts_no_more(self) -> None:
        transport = Transport()
        transport.waiting = 2 * LIMIT
        meter = self.unread.meter("one", transport)
        meter.add(1)
        meter.close()
        await asyncio.sleep(0)
        self.assertEqual(self.reports, [])

    async def test_no_answer_is_cut_off_while_it_is_written(self) -> None:
        """The write that showed the lack of memory failed on its own closed connection."""
        transport = Transport()
        transport.waiting = 2 * LIMIT
        self.unread.meter("one", transport).add(1)
        self.assertEqual(self.reports, [])
        await asyncio.sleep(0)
        self.assertEqual(len(self.reports), 1)


class TestUnreadAnswers(unittest.IsolatedAsyncioTestCase):
    """Callers that read nothing take no more than the host's memory, nor the room of others."""

    async def asyncSetUp(self) -> None:
        self.load = BodyLoad()
        await self.enterAsyncContext(self.load.running())

    async def leave_unread(self, path: str, seconds: float) -> None:
        """Send a request whose caller reads nothing."""
        writer = await self.load.leave_unread(path, seconds=seconds)
        self.addCleanup(writer.close)

    async def test_a_large_answer_beside_unread_ones_is_served(self) -> None:
        """They held the room of all large answers until they closed their connections."""
        for endpoint in self.load.endpoints:
            endpoint.padding = LARGE
        for _ in range(4):
            await self.leave_unread("/unsafe/x", 1.5)
        async with asyncio.timeout(STOP_TIMEOUT):
            self.assertEqual(await self.load.send(b""), 200)

    async def test_many_unread_streams_leave_the_host_its_memory(self) -> None:
        """Each held up to 0.9 MB, and nothing bounded their number."""
        for _ in range(MANY_STREAMS):
            await self.leave_unread("/safe/x", 60.0)
        await asyncio.sleep(STREAM_TIME_S)
        self.assertLess(self.load.memory_mb(), MEMORY_MB)
