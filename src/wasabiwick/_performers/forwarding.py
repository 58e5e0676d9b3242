"""Performs effects of forwarding: calls to endpoints, answers to callers, messages to hosts."""

import asyncio

from .._effects_forwarding import (
    AskWhetherBusy,
    ClaimOrders,
    CutForward,
    DropHold,
    DropTry,
    Forward,
    FreeHandle,
    OrderStage,
    ReadClaims,
    ReadFeed,
    ReadPrompt,
    ReadSavedStreams,
    RefuseForward,
    Relay,
    SaveStreams,
    SetReadTurn,
    TakeHold,
    TellLoad,
)
from .._errors import Failure
from .._events import (
    ClaimAnswered,
    ClaimsRead,
    EngineSaidBusy,
    HoldAnswered,
    PromptAnswered,
    SavedStreamsRead,
    StageAnswered,
    StreamsSaved,
)
from .._logging import log_event
from .._runner import Runner, performs
from ._tries import Try, task_name

SAVED_STREAMS_RETRY_S = 0.5  # Delay before the streams that hosts saved are read again.
NO_TRY = 0  # Decision that no try's answer is relayed; tries are numbered from 1.
CALL_TASKS = ("hold", "prompt", "send")  # Kinds of tasks that may run for one forwarded call.


@performs(TakeHold)
def take_hold(runner: Runner, effect: TakeHold) -> None:
    """Reserve a place at an engine."""
    runner.spawn(task_name("hold", effect.call_id), _take_hold(runner, effect))


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
        runner.spawn(task_name("prompt", effect.call_id), _read_prompt(runner, effect))


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
        runner.spawn(task_name("send", effect.call_id), Try(runner, effect).run())


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
        name = task_name(kind, effect.call_id)
        # A task whose own report led to this effect is not cancelled, as it is about to end.
        if runner.tasks.get(name) is not current:
            runner.stop_task(name)
    call = runner.forwarded_calls.get(effect.call_id)
    if call is not None and call.decision is not None and not call.decision.done():
        # Its task has reported an answer and waits, though nothing is to be relayed.
        call.decision.set_result(NO_TRY)


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


@performs(SetReadTurn)
def set_read_turn(runner: Runner, effect: SetReadTurn) -> None:
    """Read the store at this host's own pace, or listen to hosts that do."""
    runner.ports.turns.set_turn(reads=effect.reads, addresses=effect.addresses)


@performs(ReadFeed)
def read_feed(runner: Runner, effect: ReadFeed) -> None:
    """Read a feed of the store at this host's next turn, which is now."""
    runner.ports.turns.read_now(effect.feed)


@performs(SaveStreams)
def save_streams(runner: Runner, effect: SaveStreams) -> None:
    """Save this host's streams."""
    runner.spawn("save_streams", _save_streams(runner, effect))


async def _save_streams(runner: Runner, effect: SaveStreams) -> None:
    failure = await runner.ports.register.save_streams(runner.owner.host, effect, runner.now())
    if failure:
        log_event(
            "streams_not_saved",
            reason=failure.detail,
            streams=len(effect.begun),
            spare=effect.spare,
        )
    runner.post(StreamsSaved(at=runner.now(), failure=failure))


@performs(ReadSavedStreams)
def read_saved_streams(runner: Runner, effect: ReadSavedStreams) -> None:
    """Read the streams that all hosts saved; retried until it succeeds."""
    runner.spawn("saved_streams", _read_saved_streams(runner, effect))


async def _read_saved_streams(runner: Runner, effect: ReadSavedStreams) -> None:
    while True:
        asked_at = runner.now()
        saved = await runner.ports.register.saved_streams(asked_at, history=effect.history)
        if not isinstance(saved, Failure):
            break
        log_event("streams_not_read", level="WARNING", reason=saved.detail)
        await asyncio.sleep(SAVED_STREAMS_RETRY_S)
    own = frozenset(one.name for one in saved.streams.get(runner.owner.host, ()))
    begun = tuple(one for streams in saved.streams.values() for one in streams)
    log_event("streams_read", streams=len(begun), own=len(own))
    runner.post(
        SavedStreamsRead(
            at=runner.now(),
            begun=begun,
            builds=tuple(saved.builds),
            own=own,
            saved=saved.saved,
            era=saved.era,
            asked_at=asked_at,
            history=saved.history,
        )
    )


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
