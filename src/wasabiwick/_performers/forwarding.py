"""Performs effects of forwarding: calls to endpoints, answers to callers, messages to hosts."""

import asyncio

from .._effects_forwarding import (
    AnnounceHost,
    AskWhetherBusy,
    ClaimOrders,
    CutForward,
    DropHold,
    DropTry,
    Forward,
    FreeHandle,
    OrderStage,
    ReadClaims,
    ReadPrompt,
    ReadSavedStreams,
    RefuseForward,
    Relay,
    SaveStreams,
    TakeHold,
    TellLoad,
)
from .._errors import ENDPOINT_FAILED, ENDPOINT_SILENT, Failure
from .._event_stream import EventSplitter
from .._events import (
    AnswerCame,
    ClaimAnswered,
    ClaimsRead,
    EngineSaidBusy,
    HoldAnswered,
    HostFound,
    PromptAnswered,
    SavedStreamsRead,
    StageAnswered,
    StreamDone,
    StreamMoved,
    StreamsSaved,
    TryFailed,
)
from .._http1 import BrokenAnswerError
from .._logging import log_event
from .._ports.endpoints import Answer
from .._runner import Runner, performs
from .._verdict import Verdict

# Events of a stream between two reports of its progress to the reducer, after the first event.
PROGRESS_EVENTS = 8
SAVED_STREAMS_RETRY_S = 0.5  # Delay before the streams that hosts saved are read again.
REGISTER_RETRY_S = 2.0  # Delay before this host tries again to register, or to list other hosts.
CALL_TASKS = ("hold", "prompt", "send")  # Kinds of tasks that may run for one forwarded call.


def _task_name(kind: str, call_id: str) -> str:
    return f"{kind}/{call_id}"


@performs(TakeHold)
def take_hold(runner: Runner, effect: TakeHold) -> None:
    """Reserve a place at an engine."""
    runner.spawn(_task_name("hold", effect.call_id), _take_hold(runner, effect))


async def _take_hold(runner: Runner, effect: TakeHold) -> None:
    port = runner.ports.endpoints
    # Shielded from cancellation: a place that is granted after the caller has left is released.
    pending = asyncio.ensure_future(
        port.take_hold(
            effect.endpoint, effect.address, tokens=effect.tokens, seconds=effect.seconds
        )
    )
    try:
        answer = await asyncio.shield(pending)
    except asyncio.CancelledError:
        pending.add_done_callback(lambda done: _drop_granted_hold(runner, effect, done))
        raise
    failed = isinstance(answer, Failure)
    runner.post(
        HoldAnswered(
            at=runner.now(),
            call_id=effect.call_id,
            endpoint=effect.endpoint,
            hold="" if failed else answer,
            failure=answer if failed else None,
        )
    )


def _drop_granted_hold(runner: Runner, effect: TakeHold, done: asyncio.Future) -> None:
    if not done.cancelled() and not done.exception() and isinstance(done.result(), str):
        drop = DropHold(
            call_id=effect.call_id,
            endpoint=effect.endpoint,
            address=effect.address,
            hold=done.result(),
        )
        drop_hold(runner, drop)


@performs(DropHold)
def drop_hold(runner: Runner, effect: DropHold) -> None:
    """Cancel the reservation of a place; if that fails, the reservation expires by itself."""
    runner.spawn(f"drop/{effect.hold}", _drop_hold(runner, effect))


async def _drop_hold(runner: Runner, effect: DropHold) -> None:
    failure = await runner.ports.endpoints.drop_hold(effect.endpoint, effect.address, effect.hold)
    if failure:
        log_event("hold_not_dropped", endpoint=effect.endpoint, reason=failure.detail)


@performs(FreeHandle)
def free_handle(runner: Runner, effect: FreeHandle) -> None:
    """Ask an engine to free a KV cache; if that fails, the cache expires by itself."""
    runner.spawn(f"free/{effect.handle}", _free_handle(runner, effect))


async def _free_handle(runner: Runner, effect: FreeHandle) -> None:
    port = runner.ports.endpoints
    failure = await port.free_handle(effect.endpoint, effect.address, effect.handle)
    if failure:
        log_event("handle_not_freed", endpoint=effect.endpoint, reason=failure.detail)


@performs(ReadPrompt)
def read_prompt(runner: Runner, effect: ReadPrompt) -> None:
    """Prefill a prompt at an engine."""
    if effect.call_id in runner.forwarded_calls:
        runner.spawn(_task_name("prompt", effect.call_id), _read_prompt(runner, effect))


async def _read_prompt(runner: Runner, effect: ReadPrompt) -> None:
    exchange = runner.forwarded_calls[effect.call_id].exchange
    seconds = effect.deadline - runner.now()
    answer = await runner.ports.endpoints.prefill(exchange, effect, seconds=seconds)
    failed = isinstance(answer, Failure)
    runner.post(
        PromptAnswered(
            at=runner.now(),
            call_id=effect.call_id,
            endpoint=effect.endpoint,
            handle="" if failed else answer,
            failure=answer if failed else None,
        )
    )


@performs(Forward)
def forward(runner: Runner, effect: Forward) -> None:
    """Send a request to an endpoint."""
    if effect.call_id in runner.forwarded_calls:
        runner.spawn(_task_name("send", effect.call_id), _Try(runner, effect).run())


@performs(Relay)
def relay(runner: Runner, effect: Relay) -> None:
    """Tell a waiting try whether its answer is to be relayed to the caller."""
    call = runner.forwarded_calls.get(effect.call_id)
    if call is not None and call.decision is not None and not call.decision.done():
        call.decision.set_result(effect.number)


@performs(DropTry)
def drop_try(runner: Runner, effect: DropTry) -> None:
    """Cancel the tasks of a call, which closes their connections."""
    current = asyncio.current_task()
    for kind in CALL_TASKS:
        name = _task_name(kind, effect.call_id)
        # A task whose own report led to this effect is not cancelled, as it is about to end.
        if runner.tasks.get(name) is not current:
            runner.stop_task(name)


@performs(RefuseForward)
def refuse(runner: Runner, effect: RefuseForward) -> None:
    """Answer a call with a failure that this host reports itself."""
    call = runner.forwarded_calls.get(effect.call_id)
    if call is not None:
        call.refuse(effect.failure)


@performs(CutForward)
def cut(runner: Runner, effect: CutForward) -> None:
    """Abort a caller's connection, so that the caller sees that the answer is incomplete."""
    call = runner.forwarded_calls.get(effect.call_id)
    if call is not None:
        call.abort()


@performs(TellLoad)
def tell_load(runner: Runner, effect: TellLoad) -> None:
    """Send this host's load to other hosts."""
    runner.ports.datagrams.send_load(runner.owner, runner.state.zone, effect)


@performs(SaveStreams)
def save_streams(runner: Runner, effect: SaveStreams) -> None:
    """Save this host's streams."""
    runner.spawn("save_streams", _save_streams(runner, effect))


async def _save_streams(runner: Runner, effect: SaveStreams) -> None:
    failure = await runner.ports.register.save_streams(runner.owner.host, effect, runner.now())
    if failure:
        log_event("streams_not_saved", reason=failure.detail, streams=len(effect.begun))
    runner.post(StreamsSaved(at=runner.now(), failure=failure))


@performs(ReadSavedStreams)
def read_saved_streams(runner: Runner, effect: ReadSavedStreams) -> None:
    """Read the streams that all hosts saved; retried until it succeeds."""
    runner.spawn("saved_streams", _read_saved_streams(runner))


async def _read_saved_streams(runner: Runner) -> None:
    register = runner.ports.register
    while isinstance(saved := await register.saved_streams(runner.now()), Failure):
        log_event("streams_not_read", level="WARNING", reason=saved.detail)
        await asyncio.sleep(SAVED_STREAMS_RETRY_S)
    own = frozenset(one.name for one in saved.streams.get(runner.owner.host, ()))
    begun = tuple(one for streams in saved.streams.values() for one in streams)
    log_event("streams_read", streams=len(begun), own=len(own))
    runner.post(SavedStreamsRead(at=runner.now(), begun=begun, builds=tuple(saved.builds), own=own))


@performs(ReadClaims)
def read_claims(runner: Runner, effect: ReadClaims) -> None:
    """Read the last claim to the right to order stage changes."""
    runner.spawn("claims", _read_claims(runner))


async def _read_claims(runner: Runner) -> None:
    found = await runner.ports.register.last_claim()
    if isinstance(found, Failure):
        log_event("claims_not_read", level="WARNING", reason=found.detail)
        return
    runner.post(ClaimsRead(at=runner.now(), end=found[0], holder=found[1]))


@performs(ClaimOrders)
def claim_orders(runner: Runner, effect: ClaimOrders) -> None:
    """Claim the right to order stage changes."""
    runner.spawn("claim", _claim_orders(runner, effect))


async def _claim_orders(runner: Runner, effect: ClaimOrders) -> None:
    offset = await runner.ports.register.claim(effect.holder, effect.after)
    if isinstance(offset, Failure):
        log_event("claim_not_taken", reason=offset.detail)
        offset = -1
    runner.post(ClaimAnswered(at=runner.now(), offset=offset))


@performs(OrderStage)
def order_stage(runner: Runner, effect: OrderStage) -> None:
    """Order an engine to change its stage."""
    runner.spawn(f"order/{effect.endpoint}", _order_stage(runner, effect))


async def _order_stage(runner: Runner, effect: OrderStage) -> None:
    failure = await runner.ports.endpoints.order_stage(effect)
    runner.post(StageAnswered(at=runner.now(), endpoint=effect.endpoint, failure=failure))


@performs(AskWhetherBusy)
def ask_whether_busy(runner: Runner, effect: AskWhetherBusy) -> None:
    """Ask an engine whether it is changing its stage."""
    runner.spawn(f"busy/{effect.endpoint}", _ask_whether_busy(runner, effect))


async def _ask_whether_busy(runner: Runner, effect: AskWhetherBusy) -> None:
    answer = await runner.ports.endpoints.is_busy(effect.endpoint, effect.address)
    failed = isinstance(answer, Failure)
    runner.post(
        EngineSaidBusy(
            at=runner.now(),
            endpoint=effect.endpoint,
            is_busy=False if failed else answer,
            failure=answer if failed else None,
        )
    )


@performs(AnnounceHost)
def announce(runner: Runner, effect: AnnounceHost) -> None:
    """Register this host, then read the list of hosts; each step is retried until it succeeds."""
    runner.spawn("announce", _announce(runner))


async def _announce(runner: Runner) -> None:
    register, datagrams = runner.ports.register, runner.ports.datagrams
    while failure := await register.announce(
        runner.owner.host, datagrams.address, runner.state.zone
    ):
        log_event("host_not_announced", level="WARNING", reason=failure.detail)
        await asyncio.sleep(REGISTER_RETRY_S)
    while isinstance(found := await register.hosts(), Failure):
        log_event("hosts_not_read", level="WARNING", reason=found.detail)
        await asyncio.sleep(REGISTER_RETRY_S)
    for host, address, zone in found:
        runner.post(HostFound(at=runner.now(), host=host, address=address, zone=zone))


class _Try:
    """Sends a request to an endpoint once, and relays the answer if the reducer decides so.

    Args:
        runner: The host's runner.
        effect: The effect to perform.
    """

    __slots__ = ("_runner", "_effect", "_call")

    def __init__(self, runner: Runner, effect: Forward) -> None:
        self._runner = runner
        self._effect = effect
        self._call = runner.forwarded_calls[effect.call_id]

    async def run(self) -> None:
        """Send the request, report its answer, and relay it if the reducer decides so."""
        runner, effect = self._runner, self._effect
        try:
            async with asyncio.timeout(effect.quiet or None):
                answer = await runner.ports.endpoints.forward(
                    self._call.exchange, effect, seconds=effect.deadline - runner.now()
                )
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
            self._fail(
                Failure(reason=ENDPOINT_FAILED, verdict=Verdict.MAY_HAVE_RUN, detail=str(exc))
            )
        finally:
            answer.release()

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

    async def _may_relay(self, answer: Answer) -> bool:
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
            )
        )
        return await decision == effect.number

    async def _relay_complete(self, answer: Answer) -> None:
        body = await answer.body()
        answer.release()
        if await self._may_relay(answer):
            self._call.answer(answer.status, answer.headers, body)

    async def _relay_stream(self, answer: Answer) -> None:
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
                await call.write(complete)
            if splitter.events - reported >= (PROGRESS_EVENTS if reported else 1):
                reported = splitter.events
                runner.post(self._progress_event(StreamMoved))
        if splitter.is_inside_event:
            raise BrokenAnswerError(f"ended inside an event, {len(splitter.rest)} bytes into it")
        if not answer.has_length and not call.has_events:
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
