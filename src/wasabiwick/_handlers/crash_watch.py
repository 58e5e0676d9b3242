"""Watches for endpoints that end while they begin to answer, and refuses blocked requests.

A connection that breaks off does not show whether its endpoint has ended. So the endpoint is
examined at once: it has ended if nothing listens at its address, or something else does. A host
that is cut off may see the same, so another endpoint has to accept a connection. Which
requests, or parts of their prompts, may have caused it is decided in `crashing_parts`.
"""

import typing

from .._effects import Count, EnsureTimer, LogLine, StartTimer
from .._effects_forwarding import CheckEnded
from .._errors import ENDPOINT_FAILED, PART_BLOCKED, REQUEST_BLOCKED
from .._events import (
    AnswerCame,
    EndChecked,
    LoadTold,
    StepFailed,
    StreamDone,
    TimerFired,
    TryFailed,
)
from .._forwarding import Crash, Findings
from .._prompt_parts import listed
from .._reducer import Step, handles, on_timer
from .._rendezvous import ranked
from .._settings import Settings
from .._state import State, state_slice
from . import crashing_parts, directory, forwarding, health, neighbours
from .crashing_parts import Block
from .forwarding import ForwardedCall

# Seconds for which an endpoint has to write an answer until the prompt's parts are sound. Endpoints
# that end over a prompt do so within a tenth of that.
SOUND_AFTER_S = 1.0
CHECK_INTERVAL_S = 0.3  # Time between two checks of an endpoint that could not be examined.
MAX_CHECKS = 5  # Checks after which the endpoint counts as not ended.
# Seconds after which refused callers are told to retry. The request is refused again unless an
# endpoint has been seen to serve another one with the same parts.
BLOCKED_RETRY_AFTER_S = 30.0
# Other endpoints that show whether this host is cut off, if one seems to have ended.
MAX_OTHERS = 2
TRIAL_PAUSE_S = 20.0  # Time until a trial is repeated that showed nothing.
SERVER_ERROR = 500  # Lowest HTTP status of an endpoint's own failures.


class Suspicion:
    """An endpoint that may have ended, with what it began to answer.

    ``left_out`` counts the parts that are not kept, as there are too many.
    """

    __slots__ = ("crash", "address", "checks_left", "left_out")

    def __init__(self, *, crash: Crash, address: str) -> None:
        self.crash = crash
        self.address = address
        self.checks_left = MAX_CHECKS
        self.left_out = 0


@state_slice("crash_watch")
class CrashWatchState:
    """Endpoints that are being examined, by name.

    ``trials`` holds the monotonic time of this host's last trial of each service and part.
    """

    __slots__ = ("suspicions", "trials")

    def __init__(self, cfg: Settings) -> None:
        self.suspicions: dict[str, Suspicion] = {}
        self.trials: dict[tuple[str, str], float] = {}


@handles(TryFailed)
def try_failed(state: State, event: TryFailed) -> typing.Iterator[Step]:
    """Suspect the parts of a prompt whose answer broke off as it began; later, they are sound."""
    req = _current_try(state, event)
    if req is None or event.failure.reason is not ENDPOINT_FAILED:
        return
    if _has_written_on(req, event.at, event.events):
        yield from _note_sound(state, req, event.at)
    else:
        yield from _suspect(state, req, event.at)


@handles(StreamDone)
def stream_done(state: State, event: StreamDone) -> typing.Iterator[Step]:
    """Note that the parts of a prompt are sound.

    A stream without a length ends with its connection, so its endpoint may have ended instead.
    """
    req = _current_try(state, event)
    if req is None:
        return
    if req.has_length or _has_written_on(req, event.at, event.events):
        yield from _note_sound(state, req, event.at)
    else:
        yield from _suspect(state, req, event.at)


@handles(AnswerCame)
def answer_came(state: State, event: AnswerCame) -> typing.Iterator[Step]:
    """Note that the parts of a prompt are sound whose whole answer has come."""
    req = _current_try(state, event)
    is_whole = event.has_length and not event.streams
    if req is not None and is_whole and not event.not_run and event.status < SERVER_ERROR:
        yield from _note_sound(state, req, event.at)


def _current_try(state: State, event: TryFailed | AnswerCame | StreamDone) -> ForwardedCall | None:
    """Return the call of a try if it is the newest one and could be recognized again."""
    req = forwarding.call(state, event.call_id)
    if req is None or req.number != event.number or not req.ask.is_blockable or req.place is None:
        return None
    return req


def _has_written_on(req: ForwardedCall, at: float, events: int) -> bool:
    """Return whether the endpoint of a call's newest try went on writing its answer."""
    has_begun = req.phase == forwarding.RELAYING and events > req.begun_events
    return has_begun and at - req.begun_at >= SOUND_AFTER_S


def _note_sound(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    if crashing_parts.add_sound(state, req.service, req.ask.blockable, at):
        yield from apply_blocks(state, at)
    if crashing_parts.has_untold(state):
        yield from neighbours.send_soon(state, at)


def _suspect(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    """Suspect a call's parts, and examine its endpoint unless that is under way."""
    endpoint = req.place
    suspicions = state["crash_watch"].suspicions
    suspicion = suspicions.get(endpoint.name)
    if suspicion is None:
        crash = Crash(
            endpoint=endpoint.name, born=endpoint.born, service=req.service, parts=(), at=at
        )
        suspicion = suspicions[endpoint.name] = Suspicion(crash=crash, address=endpoint.address)
        yield _check(state, suspicion)
    parts = dict.fromkeys((*suspicion.crash.parts, *req.ask.blockable))
    suspicion.crash.parts = crashing_parts.bounded(state, req.service, parts)
    suspicion.left_out += len(parts) - len(suspicion.crash.parts)


def _check(state: State, suspicion: Suspicion) -> CheckEnded:
    crash = suspicion.crash
    others = [
        (one.name, one.address)
        for one in directory.all_endpoints(state)
        if one.name != crash.endpoint and health.is_usable(state, one.name)
    ]
    return CheckEnded(
        endpoint=crash.endpoint,
        address=suspicion.address,
        born=crash.born,
        others=tuple(state.rng.sample(others, min(MAX_OTHERS, len(others)))),
    )


@handles(EndChecked)
def end_checked(state: State, event: EndChecked) -> typing.Iterator[Step]:
    """Add the crash of an endpoint that has ended; examine it again if that is not known."""
    suspicions = state["crash_watch"].suspicions
    suspicion = suspicions.get(event.endpoint)
    if suspicion is None:
        return
    suspicion.checks_left -= 1
    if event.failure is not None and suspicion.checks_left:
        yield StartTimer(timer="check_ended", key=event.endpoint, delay=CHECK_INTERVAL_S)
        return
    del suspicions[event.endpoint]
    crash = suspicion.crash
    fields = {
        "endpoint": crash.endpoint,
        "has_ended": event.has_ended,
        "why": event.failure.detail if event.failure else "-",
        "parts": listed(crash.parts),
        "left_out": suspicion.left_out,
        "age": event.at - crash.at,
    }
    yield LogLine(event="endpoint_checked", fields=fields)
    if not event.has_ended:
        return
    yield Count(metric="endpoints_ended", label=crash.service)
    if crashing_parts.add_own_crash(state, crash):
        yield from apply_blocks(state, event.at)
    if crashing_parts.has_untold(state):
        yield from neighbours.send_soon(state, event.at)


@on_timer("check_ended")
def check_again(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Examine an endpoint again that could not be examined."""
    suspicion = state["crash_watch"].suspicions.get(event.key)
    if suspicion is not None:
        yield _check(state, suspicion)


@handles(LoadTold)
def findings_told(state: State, event: LoadTold) -> typing.Iterator[Step]:
    """Learn what another host has found, and tell it which of its suspects are sound."""
    findings = Findings(host=event.sender.host, crashes=event.crashes, sound=event.sound)
    if not (event.crashes or event.sound):
        return
    if crashing_parts.learn(state, findings, event.at):
        yield from apply_blocks(state, event.at)
    yield from tell_sound_streams(state, event.at)


def tell_sound_streams(state: State, at: float) -> typing.Iterator[Step]:
    """Note which suspected parts are sound by the streams that are being written, and tell that."""
    prompts = (
        (req.service, req.ask.blockable)
        for req in state["forwarding"].calls.values()
        if req.ask.is_blockable and _has_written_on(req, at, req.events)
    )
    if crashing_parts.add_sound_suspects(state, prompts, at):
        yield from apply_blocks(state, at)
    if crashing_parts.has_untold(state):
        yield from neighbours.send_soon(state, at)


def apply_blocks(state: State, at: float) -> typing.Iterator[Step]:
    """Log the blocks in force after a change, and refuse the calls that they cover.

    A stream whose events come is left alone: it breaks off, or it shows that its parts are sound.
    """
    for block in crashing_parts.blocks(state):
        yield Count(metric="parts_blocked", label=block.service)
        fields = {
            "service": block.service,
            "parts": listed(sorted(block.parts)),
            "crashes": len(block.endpoints),
            "endpoints": ",".join(block.endpoints[-crashing_parts.MIN_CRASHES :]),
        }
        yield LogLine(event="parts_blocked", fields=fields)
    if not crashing_parts.blocks(state):
        yield LogLine(event="parts_unblocked", fields={})
    for req in list(state["forwarding"].calls.values()):
        if req.phase != forwarding.RELAYING:
            yield from forwarding.guarded(req, at, refuse_blocked(state, req, at))


def refuse_blocked(state: State, req: ForwardedCall, at: float) -> typing.Iterator[Step]:
    """Refuse a call if it or its prompt is blocked, unless it is a block's trial."""
    if req.is_trial or not crashing_parts.blocks(state):
        return
    blocks = crashing_parts.blocks_of(state, req.service, req.ask.blockable)
    if not blocks:
        return
    block = blocks[0]
    if len(blocks) == 1 and _is_trial_due(state, block, at):
        state["crash_watch"].trials[block.service, *block.parts] = at
        req.is_trial = True
        yield Count(metric="part_trials", label=block.service)
        yield forwarding.log("part_trial", req, state, at, parts=listed(sorted(block.parts)))
    else:
        yield from forwarding.refuse_call(
            state,
            req,
            at,
            REQUEST_BLOCKED if block.is_whole_request else PART_BLOCKED,
            retry_after=BLOCKED_RETRY_AFTER_S,
            parts=listed(sorted(block.parts)),
            crashes=len(block.endpoints),
        )


def _is_trial_due(state: State, block: Block, at: float) -> bool:
    """Return whether this host may let a request pass to show whether a block is right.

    Hosts may do so one after the other, in an order that depends on the part, so that seldom two
    do it at a time. A trial that shows nothing is repeated after `TRIAL_PAUSE_S`.
    """
    if len(block.parts) > 1 or block.is_confirmed:
        return False
    (part,) = block.parts
    # A host that hears no other waits for its turn all the same, and reads of trials in the store.
    hosts = ranked(part, [*neighbours.known_names(state), state.owner.host])
    turn = crashing_parts.TRIAL_AFTER_S * (1 + hosts.index(state.owner.host))
    tried_at = state["crash_watch"].trials.get((block.service, part), float("-inf"))
    return at - block.times[-1] >= turn and at - tried_at >= TRIAL_PAUSE_S


@handles(StepFailed)
def examine_again(state: State, event: StepFailed) -> typing.Iterator[Step]:
    """Let suspected endpoints be examined again, as that may not have begun."""
    crashing_parts.forget_unknown(state)
    for name in state["crash_watch"].suspicions:
        yield EnsureTimer(timer="check_ended", key=name, delay=CHECK_INTERVAL_S)
