"""Performs effects on engines: prefills, streams, cancels, reports and orders."""

import contextlib
import typing

from .._effects import (
    AttemptEffect,
    CancelAttempt,
    Count,
    DropStream,
    FetchCacheEvents,
    FetchReport,
    OrderEngine,
    ResumeStream,
    StartDecode,
    StartPrefill,
)
from .._errors import ENDPOINT_FAILED, SUPERSEDED, Failure
from .._events import (
    CacheChanged,
    CancelAnswered,
    EngineReported,
    EngineSilent,
    OrderAnswered,
    PrefillDone,
    StreamEnded,
    StreamProgress,
)
from .._handlers import members
from .._output import Output
from .._runner import Runner, performs
from .._verdict import Verdict
from .._wire import CancelAsk, DecodeAsk, Frame, PrefillAsk, ResumeAsk
from . import callers, telemetry
from ._attempts import no_address, post_failure

PROGRESS_INTERVAL_S = 0.25  # Time between two reports of a stream's progress to the reducer.
COMPLETE_FINISHES = ("stop", "length")  # Values of ``finish`` that end a stream without a failure.


def _owner_name(runner: Runner) -> str:
    return f"{runner.owner.host}/{runner.owner.incarnation}"


# --- Prefill -------------------------------------------------------------------------------------


@performs(StartPrefill)
def start_prefill(runner: Runner, effect: StartPrefill) -> None:
    """Start a task that prefills a request's prompt."""
    runner.spawn(f"attempt/{effect.request_id}", _prefill(runner, effect))


async def _prefill(runner: Runner, effect: StartPrefill) -> None:
    address = members.address_of(runner.state, effect.endpoint)
    if not address:
        post_failure(runner, effect, "prefill", no_address(effect.endpoint))
        return
    ask = PrefillAsk(
        request_id=effect.request_id,
        attempt_id=effect.attempt_id,
        owner=_owner_name(runner),
        model=effect.model,
        prompt=runner.bodies[effect.request_id].prompt,
        prefix=callers.output_of(runner, effect.request_id).text(),
        priority=effect.priority,
    )
    answer = await runner.ports.engine.prefill(address, ask)
    if isinstance(answer, Failure):
        post_failure(runner, effect, "prefill", answer)
        return
    runner.post(
        PrefillDone.about(
            effect,
            at=runner.now(),
            handle=answer.handle,
            expires_in=answer.expires_in,
            prompt_tokens=answer.prompt_tokens,
            cached_tokens=answer.cached_tokens,
            seconds=answer.seconds,
        )
    )


# --- Streams -------------------------------------------------------------------------------------


@performs(StartDecode)
def start_decode(runner: Runner, effect: StartDecode) -> None:
    """Start a decode at an engine, and a task that reads its stream."""
    output = callers.output_of(runner, effect.request_id)
    output.attempt_id = effect.attempt_id
    ask = DecodeAsk(
        request_id=effect.request_id,
        attempt_id=effect.attempt_id,
        owner=_owner_name(runner),
        model=effect.model,
        source=members.address_of(runner.state, effect.source),
        handle=effect.handle,
        max_tokens=effect.max_tokens,
        offset=output.offset,
        priority=effect.priority,
    )
    reader = Reader(runner=runner, effect=effect, phase="decode", output=output)
    stream = runner.ports.engine.decode(members.address_of(runner.state, effect.endpoint), ask)
    runner.spawn(f"attempt/{effect.request_id}", reader.run(stream))


@performs(ResumeStream)
def resume(runner: Runner, effect: ResumeStream) -> None:
    """Reopen a running attempt's stream at the first missing token."""
    output = callers.output_of(runner, effect.request_id)
    output.attempt_id = effect.attempt_id
    ask = ResumeAsk(
        request_id=effect.request_id,
        attempt_id=effect.attempt_id,
        owner=_owner_name(runner),
        offset=output.offset,
        takeover=effect.takeover,
    )
    reader = Reader(runner=runner, effect=effect, phase="resume", output=output)
    stream = runner.ports.engine.resume(members.address_of(runner.state, effect.endpoint), ask)
    runner.spawn(f"attempt/{effect.request_id}", reader.run(stream))


@performs(DropStream)
def drop(runner: Runner, effect: DropStream) -> None:
    """Stop reading an attempt's stream."""
    output = runner.outputs.get(effect.request_id)
    if output and output.attempt_id == effect.attempt_id:
        output.attempt_id = ""
    runner.stop_task(f"attempt/{effect.request_id}")


class Reader:
    """Reads one stream of one attempt into the request's output.

    Args:
        runner: The host's runner.
        effect: The effect that opened the stream.
        phase: ``decode`` or ``resume``.
        output: Output that the tokens are added to.
    """

    __slots__ = ("_runner", "_effect", "_phase", "_output", "_count", "_reported_at")

    def __init__(
        self, *, runner: Runner, effect: AttemptEffect, phase: str, output: Output
    ) -> None:
        self._runner = runner
        self._effect = effect
        self._phase = phase
        self._output = output
        self._count = 0
        self._reported_at = float("-inf")

    async def run(self, stream: typing.AsyncIterator[list[Frame] | Failure]) -> None:
        """Read until the stream ends or fails, or another attempt takes over the output."""
        async with contextlib.aclosing(stream):
            async for batch in stream:
                if isinstance(batch, Failure):
                    self._post_progress()
                    post_failure(self._runner, self._effect, self._phase, batch)
                    return
                for frame in batch:
                    if not self._process(frame):
                        return
                self._post_progress_if_due()
                await self._output.wait_for_space()

    def _process(self, frame: Frame) -> bool:
        """Process one frame; returns False once the stream has ended or is no longer wanted."""
        effect = self._effect
        is_own = (frame.request_id, frame.attempt_id) == (effect.request_id, effect.attempt_id)
        if not is_own or self._output.attempt_id != effect.attempt_id:
            telemetry.count(self._runner, Count(metric="frames_dropped", amount=frame.count))
            return self._output.attempt_id == effect.attempt_id
        if frame.count and frame.offset + frame.count > self._output.offset:
            if frame.offset != self._output.offset:
                self._post_progress()
                post_failure(self._runner, effect, self._phase, _gap_failure(effect.endpoint))
                return False
            self._output.add(frame.text, frame.count)
            self._count += frame.count
        if frame.done:
            self._post_end(frame)
            return False
        return True

    def _post_progress_if_due(self) -> None:
        if self._count and self._runner.now() - self._reported_at >= PROGRESS_INTERVAL_S:
            self._post_progress()

    def _post_progress(self) -> None:
        if not self._count:
            return
        now = self._runner.now()
        event = StreamProgress.about(
            self._effect,
            at=now,
            count=self._count,
            offset=self._output.offset,
        )
        self._count = 0
        self._reported_at = now
        self._runner.post(event)

    def _post_end(self, frame: Frame) -> None:
        self._post_progress()
        effect = self._effect
        if frame.finish not in COMPLETE_FINISHES:
            failure = Failure(
                reason=SUPERSEDED if frame.finish == "superseded" else ENDPOINT_FAILED,
                verdict=Verdict.MAY_HAVE_RUN,
                detail=f'endpoint "{effect.endpoint}" ended the stream: {frame.finish}',
            )
            post_failure(self._runner, effect, self._phase, failure)
            return
        self._runner.post(
            StreamEnded.about(
                effect,
                at=self._runner.now(),
                offset=self._output.offset,
                finish=frame.finish,
            )
        )


def _gap_failure(endpoint: str) -> Failure:
    return Failure(
        reason=ENDPOINT_FAILED,
        verdict=Verdict.MAY_HAVE_RUN,
        detail=f'endpoint "{endpoint}" left tokens out',
    )


# --- Control -------------------------------------------------------------------------------------


@performs(CancelAttempt)
def cancel(runner: Runner, effect: CancelAttempt) -> None:
    """Cancel an attempt at its engine."""
    runner.spawn(f"cancel/{effect.attempt_id}", _cancel(runner, effect))


async def _cancel(runner: Runner, effect: CancelAttempt) -> None:
    address = members.address_of(runner.state, effect.endpoint)
    if not address:
        post_failure(runner, effect, "cancel", no_address(effect.endpoint))
        return
    ask = CancelAsk(request_id=effect.request_id, attempt_id=effect.attempt_id)
    answer = await runner.ports.engine.cancel(address, ask)
    if isinstance(answer, Failure):
        post_failure(runner, effect, "cancel", answer)
        return
    runner.post(
        CancelAnswered.about(
            effect,
            at=runner.now(),
            gone=answer.gone,
        )
    )


@performs(FetchReport)
def fetch_report(runner: Runner, effect: FetchReport) -> None:
    """Ask an engine for its report."""
    runner.spawn(f"report/{effect.endpoint}", _fetch_report(runner, effect.endpoint))


async def _fetch_report(runner: Runner, endpoint: str) -> None:
    address = members.address_of(runner.state, endpoint)
    answer = await runner.ports.engine.report(address) if address else no_address(endpoint)
    if isinstance(answer, Failure):
        runner.post(EngineSilent(at=runner.now(), endpoint=endpoint))
    else:
        runner.post(EngineReported(at=runner.now(), report=answer))


@performs(FetchCacheEvents)
def fetch_cache_events(runner: Runner, effect: FetchCacheEvents) -> None:
    """Ask an engine for its prefix cache events."""
    runner.spawn(f"cache/{effect.endpoint}", _fetch_cache_events(runner, effect))


async def _fetch_cache_events(runner: Runner, effect: FetchCacheEvents) -> None:
    address = members.address_of(runner.state, effect.endpoint)
    if not address:
        return
    answer = await runner.ports.engine.cache_events(address, effect.sequence)
    if not isinstance(answer, Failure):
        runner.post(CacheChanged(at=runner.now(), endpoint=effect.endpoint, changes=answer))


@performs(OrderEngine)
def order(runner: Runner, effect: OrderEngine) -> None:
    """Send an order to an engine."""
    runner.spawn(f"order/{effect.attempt_id}", _order(runner, effect))


async def _order(runner: Runner, effect: OrderEngine) -> None:
    address = members.address_of(runner.state, effect.endpoint)
    if not address:
        post_failure(runner, effect, "order", no_address(effect.endpoint))
        return
    answer = await runner.ports.engine.order(address, effect.order)
    if isinstance(answer, Failure):
        post_failure(runner, effect, "order", answer)
        return
    runner.post(
        OrderAnswered.about(
            effect,
            at=runner.now(),
            accepted=answer,
        )
    )
