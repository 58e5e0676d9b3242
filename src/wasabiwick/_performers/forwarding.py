"""Effects of forwarding: calls to endpoints, answers to callers, and datagrams to other hosts."""

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
    RefuseForward,
    Relay,
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
    StageAnswered,
    StreamDone,
    StreamMoved,
    TryFailed,
)
from .._http1 import BrokenAnswerError
from .._logging import log_event
from .._ports.endpoints import Answer
from .._runner import Runner, performs
from .._verdict import Verdict

MOVED_EVERY = 8  # Events of a stream between two reports of its progress.
REGISTER_RETRY = 2.0  # Seconds between attempts to enter the list of hosts.
STEPS = ("hold", "prompt", "send")  # Tasks that one call may have.


def _task(step: str, call_id: str) -> str:
    return f"{step}/{call_id}"


@performs(TakeHold)
def take_hold(runner: Runner, effect: TakeHold) -> None:
    """Ask an engine for a place."""
    runner.spawn(_task("hold", effect.call_id), _take_hold(runner, effect))


async def _take_hold(runner: Runner, effect: TakeHold) -> None:
    port = runner.ports.endpoints
    # Shielded, so that a place which was given to a caller that left is found and given back.
    asked = asyncio.ensure_future(
        port.take_hold(
            effect.endpoint, effect.address, tokens=effect.tokens, seconds=effect.seconds
        )
    )
    try:
        answer = await asyncio.shield(asked)
    except asyncio.CancelledError:
        asked.add_done_callback(lambda done: _return_hold(runner, effect, done))
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


def _return_hold(runner: Runner, effect: TakeHold, done: asyncio.Future) -> None:
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
    """Give a place back; if that fails, it lapses by itself."""
    runner.spawn(f"drop/{effect.hold}", _drop_hold(runner, effect))


async def _drop_hold(runner: Runner, effect: DropHold) -> None:
    failure = await runner.ports.endpoints.drop_hold(effect.endpoint, effect.address, effect.hold)
    if failure:
        log_event("hold_not_dropped", endpoint=effect.endpoint, reason=failure.detail)


@performs(FreeHandle)
def free_handle(runner: Runner, effect: FreeHandle) -> None:
    """Let an engine drop a KV cache; if that fails, it lapses by itself."""
    runner.spawn(f"free/{effect.handle}", _free_handle(runner, effect))


async def _free_handle(runner: Runner, effect: FreeHandle) -> None:
    port = runner.ports.endpoints
    failure = await port.free_handle(effect.endpoint, effect.address, effect.handle)
    if failure:
        log_event("handle_not_freed", endpoint=effect.endpoint, reason=failure.detail)


@performs(ReadPrompt)
def read_prompt(runner: Runner, effect: ReadPrompt) -> None:
    """Have a prompt prefilled."""
    if effect.call_id in runner.forwarded_calls:
        runner.spawn(_task("prompt", effect.call_id), _read_prompt(runner, effect))


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
        runner.spawn(_task("send", effect.call_id), _Try(runner, effect).run())


@performs(Relay)
def relay(runner: Runner, effect: Relay) -> None:
    """Let a try pass its answer on."""
    waiting = runner.forwarded_calls.get(effect.call_id)
    if waiting is not None and waiting.decision is not None and not waiting.decision.done():
        waiting.decision.set_result(effect.number)


@performs(DropTry)
def drop_try(runner: Runner, effect: DropTry) -> None:
    """Stop what a call has under way, which closes its connections."""
    current = asyncio.current_task()
    for step in STEPS:
        name = _task(step, effect.call_id)
        # A task that reports its own end is not stopped by what follows from it.
        if runner.tasks.get(name) is not current:
            runner.stop_task(name)


@performs(RefuseForward)
def refuse(runner: Runner, effect: RefuseForward) -> None:
    """Answer a call with a failure of this host."""
    waiting = runner.forwarded_calls.get(effect.call_id)
    if waiting is not None:
        waiting.refuse(effect.failure)


@performs(CutForward)
def cut(runner: Runner, effect: CutForward) -> None:
    """Break an answer off."""
    waiting = runner.forwarded_calls.get(effect.call_id)
    if waiting is not None:
        waiting.abort()


@performs(TellLoad)
def tell_load(runner: Runner, effect: TellLoad) -> None:
    """Send this host's load to others."""
    runner.ports.datagrams.send_load(runner.owner, runner.state.zone, effect)


@performs(ReadClaims)
def read_claims(runner: Runner, effect: ReadClaims) -> None:
    """Read the last claim to give orders."""
    runner.spawn("claims", _read_claims(runner))


async def _read_claims(runner: Runner) -> None:
    found = await runner.ports.register.last_claim()
    if isinstance(found, Failure):
        log_event("claims_not_read", level="WARNING", reason=found.detail)
        return
    runner.post(ClaimsRead(at=runner.now(), end=found[0], holder=found[1]))


@performs(ClaimOrders)
def claim_orders(runner: Runner, effect: ClaimOrders) -> None:
    """Claim the right to give orders."""
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
    """Ask an engine whether it carries an order out."""
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
    """Enter this host in the list of hosts and read the others, until both have worked."""
    runner.spawn("announce", _announce(runner))


async def _announce(runner: Runner) -> None:
    register, datagrams = runner.ports.register, runner.ports.datagrams
    while failure := await register.announce(
        runner.owner.host, datagrams.address, runner.state.zone
    ):
        log_event("host_not_announced", level="WARNING", reason=failure.detail)
        await asyncio.sleep(REGISTER_RETRY)
    while isinstance(found := await register.hosts(), Failure):
        log_event("hosts_not_read", level="WARNING", reason=found.detail)
        await asyncio.sleep(REGISTER_RETRY)
    for host, address, zone in found:
        runner.post(HostFound(at=runner.now(), host=host, address=address, zone=zone))


class _Try:
    """One send of a request to an endpoint, until its answer is passed on or fails.

    Args:
        runner: The host's runner.
        effect: What to send where.
    """

    __slots__ = ("_runner", "_effect", "_waiting")

    def __init__(self, runner: Runner, effect: Forward) -> None:
        self._runner = runner
        self._effect = effect
        self._waiting = runner.forwarded_calls[effect.call_id]

    async def run(self) -> None:
        """Send the request, report its answer, and pass it on if told to."""
        runner, effect = self._runner, self._effect
        try:
            async with asyncio.timeout(effect.quiet or None):
                answer = await runner.ports.endpoints.forward(
                    self._waiting.exchange, effect, seconds=effect.deadline - runner.now()
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
                await self._stream(answer)
            else:
                await self._whole(answer)
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
                events=self._waiting.exchange.events,
            )
        )

    async def _decided(self, answer: Answer) -> bool:
        """Report an answer and wait until it may be passed on."""
        effect = self._effect
        decision = asyncio.get_running_loop().create_future()
        self._waiting.decision = decision
        self._runner.post(
            AnswerCame(
                at=self._runner.now(),
                call_id=effect.call_id,
                endpoint=effect.endpoint,
                number=effect.number,
                status=answer.status,
                not_run=answer.not_run,
                streams=answer.streams,
            )
        )
        return await decision == effect.number

    async def _whole(self, answer: Answer) -> None:
        body = await answer.body()
        answer.release()
        if await self._decided(answer):
            self._waiting.answer(answer.status, answer.headers, body)

    async def _stream(self, answer: Answer) -> None:
        if not await self._decided(answer):
            return
        runner, waiting = self._runner, self._waiting
        await waiting.start_stream(answer.status, answer.headers)
        splitter = EventSplitter()
        before = waiting.exchange.events
        told = 0
        while True:
            data = await answer.chunk()
            if not data:
                break
            whole = splitter.feed(data)
            if whole:
                waiting.exchange.events = before + splitter.events
                waiting.exchange.last_event_id = splitter.last_id or waiting.exchange.last_event_id
                await waiting.write(whole)
            if splitter.events - told >= MOVED_EVERY:
                told = splitter.events
                runner.post(self._progress(StreamMoved))
        if splitter.rest:
            await waiting.write(splitter.rest)
        runner.post(self._progress(StreamDone))
        waiting.end_stream()

    def _progress(self, event: type) -> StreamMoved | StreamDone:
        effect = self._effect
        return event(
            at=self._runner.now(),
            call_id=effect.call_id,
            endpoint=effect.endpoint,
            number=effect.number,
            events=self._waiting.exchange.events,
        )
