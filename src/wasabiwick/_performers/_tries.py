"""Sends one try of a call to an endpoint or to another host, and relays its answer."""

import asyncio
import math
import typing

from .._effects_forwarding import Forward
from .._effects_hops import PassOn
from .._errors import ENDPOINT_FAILED, ENDPOINT_SILENT, HOST_LOST, UNREAD, Failure, Reason
from .._event_stream import EventSplitter
from .._events import AnswerCame, StreamDone, StreamMoved, TryFailed
from .._http1 import BrokenAnswerError
from .._logging import log_event
from .._ports import Answer, HopAnswer
from .._runner import Runner
from .._verdict import Verdict

# Events of a stream between two reports of its progress to the reducer, after the first event.
PROGRESS_EVENTS = 8
# Seconds for which an answer was not read from its endpoint, because its caller or a lack of memory
# held it up. What breaks off then was cut off by a sound endpoint, which waits a few seconds.
HELD_UP_S = 1.0


def task_name(kind: str, call_id: str) -> str:
    """Return the name of a task of one kind for a call."""
    return f"{kind}/{call_id}"


class Try:
    """Sends a request to an endpoint once, and relays the answer if the reducer decides so.

    Args:
        runner: The host's runner.
        effect: The effect to perform.
    """

    __slots__ = ("_runner", "_effect", "_call", "_held_up_at")

    def __init__(self, runner: Runner, effect: Forward | PassOn) -> None:
        self._runner = runner
        self._effect = effect
        self._call = runner.forwarded_calls[effect.call_id]
        self._held_up_at = -math.inf

    async def run(self) -> None:
        """Send the request, report its answer, and relay it if the reducer decides so."""
        effect = self._effect
        try:
            async with asyncio.timeout(effect.quiet or None):
                answer = await self._send()
        except TimeoutError:
            detail = f"no answer within {effect.quiet:.3g} s"
            self._fail(Failure(reason=ENDPOINT_SILENT, verdict=Verdict.MAY_HAVE_RUN, detail=detail))
            return
        if isinstance(answer, Failure):
            self._fail(answer)
            return
        try:
            if answer.streams and answer.status == 200:
                await self._relay_stream(answer)
            else:
                await self._relay_complete(answer)
        except BrokenAnswerError as exc:
            reason = self._broken_off_reason()
            self._fail(Failure(reason=reason, verdict=Verdict.MAY_HAVE_RUN, detail=str(exc)))
        except ConnectionError as exc:
            # Of the caller's connection, whose own end is reported by its listener (`ForwardLeft`).
            log_event("caller_unwritable", level="DEBUG", call=effect.call_id, error=repr(exc))
        finally:
            answer.release()

    async def _send(self) -> Answer | HopAnswer | Failure:
        """Send the request to its endpoint, or to the host that is to do so."""
        ports, effect, exchange = self._runner.ports, self._effect, self._call.exchange
        seconds = effect.deadline - self._runner.now()
        if isinstance(effect, PassOn):
            return await ports.hops.pass_on(exchange, effect, seconds=seconds)
        return await ports.endpoints.forward(exchange, effect, seconds=seconds)

    def _broken_off_reason(self) -> Reason:
        """Return whose doing it is that an answer has broken off."""
        if self._runner.now() - self._held_up_at < HELD_UP_S:
            return UNREAD
        return HOST_LOST if isinstance(self._effect, PassOn) else ENDPOINT_FAILED

    async def _hold_up(self, wait: typing.Awaitable[None]) -> None:
        """Wait while nothing is read from the endpoint, and record the end of a long wait."""
        began_at = self._runner.now()
        await wait
        ended_at = self._runner.now()
        if ended_at - began_at >= HELD_UP_S:
            self._held_up_at = ended_at

    async def _room(self, size: int) -> None:
        owner = self._effect.organisation if isinstance(self._effect, Forward) else None
        await self._hold_up(self._call.room_for_answer(size, owner or ""))

    def _fail(self, failure: Failure) -> None:
        effect = self._effect
        self._runner.post(
            TryFailed(
                at=self._runner.now(),
                call_id=effect.call_id,
                endpoint=effect.endpoint,
                number=effect.number,
                failure=failure,
                events=self._call.exchange.events,
            )
        )

    async def _may_relay(self, answer: Answer | HopAnswer) -> bool:
        """Report an answer to the reducer, and return whether this try may relay the answer."""
        effect = self._effect
        decision = asyncio.get_running_loop().create_future()
        self._call.decision = decision
        self._runner.post(
            AnswerCame(
                at=self._runner.now(),
                call_id=effect.call_id,
                endpoint=effect.endpoint,
                number=effect.number,
                status=answer.status,
                not_run=answer.not_run,
                streams=answer.streams,
                has_length=answer.has_length,
                build=answer.build if isinstance(effect, PassOn) else "",
            )
        )
        return await decision == effect.number

    async def _relay_complete(self, answer: Answer | HopAnswer) -> None:
        body = await answer.body(self._room)
        answer.release()
        if await self._may_relay(answer):
            self._call.answer(answer.status, answer.headers, body)

    async def _relay_stream(self, answer: Answer | HopAnswer) -> None:
        if not await self._may_relay(answer):
            return
        runner, call = self._runner, self._call
        await call.start_stream(answer.status, answer.headers)
        splitter = EventSplitter()
        events_before = call.exchange.events
        reported = 0
        while True:
            data = await answer.chunk()
            if not data:
                break
            complete = splitter.feed(data)
            if complete:
                call.exchange.events = events_before + splitter.events
                call.exchange.last_event_id = splitter.last_id or call.exchange.last_event_id
                await self._hold_up(call.write(complete))
            if splitter.events - reported >= (PROGRESS_EVENTS if reported else 1):
                reported = splitter.events
                runner.post(self._progress_event(StreamMoved))
        if splitter.is_inside_event:
            raise BrokenAnswerError(f"ended inside an event, {len(splitter.rest)} bytes into it")
        if not (answer.has_length or splitter.events or call.may_be_empty):
            raise BrokenAnswerError("closed before the first event")
        if splitter.rest:
            await call.write(splitter.rest)
        runner.post(self._progress_event(StreamDone))
        call.end_stream()

    def _progress_event(self, event: type) -> StreamMoved | StreamDone:
        effect = self._effect
        return event(
            at=self._runner.now(),
            call_id=effect.call_id,
            endpoint=effect.endpoint,
            number=effect.number,
            events=self._call.exchange.events,
        )
