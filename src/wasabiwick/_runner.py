"""Runner of one host: feeds events to the reducer one at a time, and performs its effects."""

import asyncio
import collections
import typing

import reactivex

from . import _handlers  # noqa: F401 - registers the handlers
from ._effects import Count, Effect, LogLine, Observe, ReportFault, StartTimer, StopTimer
from ._events import Booted, EffectFailed, Event, StopAsked
from ._logging import log_exception
from ._output import Output
from ._ports import (
    Clock,
    Datagrams,
    Endpoints,
    Engine,
    Hops,
    HostList,
    HostRegister,
    LogService,
    Peer,
    Service,
)
from ._read_turns import ReadTurns
from ._reducer import reduce_contained
from ._settings import Settings
from ._state import State
from ._telemetry import Telemetry
from ._wire import Owner

E = typing.TypeVar("E", bound=Effect)
Performer = typing.Callable[["Runner", typing.Any], None]

_PERFORMERS: dict[type[Effect], Performer] = {}

# Effects that nobody waits for; their failure is logged and counted only.
_TELEMETRY = (Count, LogLine, Observe, ReportFault)
# Failures of effects that may lead to one another, as when a refusal can't be written and the
# connection can't be aborted either.
MAX_EFFECT_FAILURES = 3
# Time after the end of the platform's shutdown window until the process ends in any case. The
# reducer should have ended it by then.
FORCED_END_SLACK_S = 0.2


def performs(effect: type[Effect]) -> typing.Callable[[Performer], Performer]:
    """Register the function that performs one type of effect."""

    def register(performer: Performer) -> Performer:
        if effect in _PERFORMERS:
            raise ValueError(f"effect {effect.__name__!r} has two performers")
        _PERFORMERS[effect] = performer
        return performer

    return register


class Ports:
    """The adapters that one host uses; those that its kind of deployment lacks are None."""

    __slots__ = (
        "clock",
        "engine",
        "host_list",
        "log",
        "peer",
        "service",
        "endpoints",
        "datagrams",
        "register",
        "hops",
        "turns",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        engine: Engine | None = None,
        host_list: HostList | None = None,
        log: LogService | None = None,
        peer: Peer | None = None,
        service: Service | None = None,
        endpoints: Endpoints | None = None,
        datagrams: Datagrams | None = None,
        register: HostRegister | None = None,
        hops: Hops | None = None,
        turns: ReadTurns | None = None,
    ) -> None:
        self.clock = clock
        self.engine = engine
        self.host_list = host_list
        self.log = log
        self.peer = peer
        self.service = service
        self.endpoints = endpoints
        self.datagrams = datagrams
        self.register = register
        self.hops = hops
        self.turns = turns


class Body:
    """What a caller sent, kept while its request is served."""

    __slots__ = ("prompt", "raw", "content_type")

    def __init__(self, *, prompt: str, raw: bytes, content_type: str) -> None:
        self.prompt = prompt
        self.raw = raw
        self.content_type = content_type


class Sink(typing.Protocol):
    """Receiver of one call's answer, as performers use it."""

    def attach(self, output: Output) -> None:
        """Relay this output from its first token on."""

    def refuse(self, failure: object) -> None:
        """Answer with a failure."""

    def answer(self, status: int, body: str, content_type: str) -> None:
        """Answer with a complete body."""

    def close(self) -> None:
        """Close the connection without an answer."""


class Runner:
    """Runs one host's reducer over asyncio.

    Args:
        cfg: The host's settings.
        ports: Adapters to outside systems.
        owner: The host and the incarnation of this process.
        seed: Seed for the host's jitter.

    Attributes:
        state: The reducer's state, which nothing else may change.
        events: Emits each event with its effects to recorders such as traces.
        telemetry: Counters and latencies.
        sinks: Receivers of the answers to waiting calls, by call id.
        bodies: What callers sent, by request id.
        forwarded_calls: Forwarded calls that wait for their answer, by call id.
        outputs: Output of generations by request id.
        timers: Handles of running timers by name and key.
        tasks: Running tasks by name; a new one replaces an older one of the same name.
        mailboxes: Messages that wait to be sent, by host.
        ended: Set once the process may end.
    """

    __slots__ = (
        "cfg",
        "ports",
        "owner",
        "seed",
        "state",
        "events",
        "telemetry",
        "sinks",
        "bodies",
        "forwarded_calls",
        "outputs",
        "timers",
        "tasks",
        "mailboxes",
        "ended",
        "_queue",
        "_is_busy",
        "_subjects",
    )

    def __init__(self, *, cfg: Settings, ports: Ports, owner: Owner, seed: int) -> None:
        self.cfg = cfg
        self.ports = ports
        self.owner = owner
        self.seed = seed
        self.state = State(cfg)
        self.events: reactivex.Subject[tuple[Event, list[Effect]]] = reactivex.Subject()
        self.telemetry = Telemetry()
        self.sinks: dict[str, Sink] = {}
        self.bodies: dict[str, Body] = {}
        self.forwarded_calls: dict[str, typing.Any] = {}
        self.outputs: dict[str, Output] = {}
        self.timers: dict[tuple[str, str], asyncio.TimerHandle] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.mailboxes: dict[str, typing.Any] = {}
        self.ended = asyncio.Event()
        self._queue: collections.deque[Event] = collections.deque()
        self._is_busy = False
        self._subjects: dict[asyncio.Task, str] = {}

    def now(self) -> float:
        """Return the host's monotonic time in seconds."""
        return self.ports.clock.monotonic()

    def start(self, boot: type[Booted] = Booted) -> None:
        """Post the first event, which reports to the reducer that the host has started.

        Args:
            boot: Type of the event, which depends on the kind of deployment.
        """
        self.post(
            boot(
                at=self.now(),
                owner=self.owner,
                zone=self.cfg.zone,
                wall=self.ports.clock.wall(),
                seed=self.seed,
            )
        )

    def stop(self) -> None:
        """Begin the graceful shutdown, which ends in time whatever becomes of it."""
        asyncio.get_running_loop().call_later(
            self.cfg.timing.drain + FORCED_END_SLACK_S, self.ended.set
        )
        self.post(StopAsked(at=self.now()))

    def post(self, event: Event) -> None:
        """Reduce an event and perform its effects.

        An event that is posted while effects are performed is queued, so that the reducer handles
        one event at a time.

        Args:
            event: The event to reduce.
        """
        if self.ports.datagrams is not None and not self._is_busy:
            self._catch_up(event.at)
        self._queue.append(event)
        if self._is_busy:
            return
        self._is_busy = True
        try:
            while self._queue:
                self._handle(self._queue.popleft())
        finally:
            self._is_busy = False

    def spawn(self, name: str, work: typing.Coroutine, *, subject: str = "") -> None:
        """Start a named task, and cancel an older one of the same name.

        Args:
            name: Name of the task.
            work: The coroutine to run.
            subject: The call or request that is answered and closed if the task raises an
                exception; by default what follows the name's first slash.
        """
        self.stop_task(name)
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.tasks[name] = task
        if subject:
            self._subjects[task] = subject
        task.add_done_callback(self._task_done)

    def stop_task(self, name: str) -> None:
        """Cancel a task, if one of this name runs."""
        task = self.tasks.pop(name, None)
        if task:
            task.cancel()

    async def close(self) -> None:
        """Stop all timers and tasks."""
        for handle in self.timers.values():
            handle.cancel()
        running = list(self.tasks.values())
        self.tasks.clear()
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def _task_done(self, task: asyncio.Task) -> None:
        name = task.get_name()
        if self.tasks.get(name) is task:
            del self.tasks[name]
        subject = self._subjects.pop(task, "")
        if not task.cancelled() and task.exception():
            subject = subject or name.partition("/")[2]
            log_exception("task_failed", task.exception(), task=name, request=subject or "-")
            self.post(EffectFailed(at=self.now(), effect=name.partition("/")[0], subject=subject))

    def _catch_up(self, at: float) -> None:
        try:
            self.ports.datagrams.catch_up(at)
        except Exception as exc:  # noqa: BLE001 - logged with its traceback
            # The event itself must not be lost with what was read before it.
            log_exception("datagrams_unreadable", exc)

    def _handle(self, event: Event) -> None:
        try:
            step = event, reduce_contained(self.state, event)
            self._perform_effects(step)
            if self.events.observers:
                # Without a recorder, nothing of reactivex runs at the hundreds of events a second.
                self.events.on_next(step)
        except Exception as exc:  # noqa: BLE001 - logged with its traceback
            self._record_error(exc, event)

    def _perform_effects(self, step: tuple[Event, list[Effect]]) -> None:
        event, effects = step
        for effect in effects:
            try:
                _PERFORMERS[type(effect)](self, effect)
            except Exception as exc:  # noqa: BLE001 - logged with its traceback
                self._record_error(exc, effect)
                self._report_failed_effect(event, effect)

    def _report_failed_effect(self, event: Event, effect: Effect) -> None:
        """Let the reducer answer the call, or repair what else the effect was to do."""
        depth = 1 + (event.depth if isinstance(event, EffectFailed) else 0)
        if isinstance(effect, _TELEMETRY) or depth > MAX_EFFECT_FAILURES:
            return
        self.post(
            EffectFailed(
                at=self.now(),
                effect=type(effect).__name__,
                subject=_subject_of(effect),
                timer=effect.timer if isinstance(effect, StartTimer) else "",
                depth=depth,
            )
        )

    def _record_error(self, exc: Exception, cause: Event | Effect) -> None:
        """Log and count an error in the program, which must not affect other requests."""
        name = type(cause).__name__
        self.telemetry.count("faults", name, 1)
        log_exception("fault", exc, cause=name, request=_subject_of(cause) or "-")


def _subject_of(cause: Event | Effect) -> str:
    """Return the call, request or timer key that an event or effect is about, or an empty text."""
    if isinstance(cause, StartTimer | StopTimer):
        return cause.key
    return getattr(cause, "call_id", "") or getattr(cause, "request_id", "")
