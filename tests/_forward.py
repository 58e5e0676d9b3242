"""One forwarding host's reducer on a virtual clock; the test answers for the endpoints."""

import heapq
import itertools

from wasabiwick import _effects, _events, _handlers, _reducer, _settings, _state, _wire
from wasabiwick._effects_forwarding import (
    DropTry,
    Forward,
    ReadPrompt,
    ReadSavedStreams,
    RefuseForward,
    Relay,
    SaveStreams,
    TakeHold,
    TellLoad,
)
from wasabiwick._effects_hops import CheckReach, PassOn
from wasabiwick._errors import (
    ENDPOINT_FAILED,
    ENDPOINT_REFUSED,
    ENDPOINT_UNREACHABLE,
    LOG_UNAVAILABLE,
    Failure,
)
from wasabiwick._forwarding import (
    DECODE,
    PREFILL,
    SAFE,
    STREAM,
    UNSAFE,
    Ask,
    BegunStream,
    Endpoint,
    EngineTraits,
    Listing,
    Route,
    RouteTable,
    SavedBuilds,
    ServiceTraits,
)
from wasabiwick._hops import Hop, HopTarget
from wasabiwick._verdict import Verdict

assert _handlers  # Imported for its registrations.

ZONE = "zone-a"
MODEL = "writer"
APP = "sign-up"
EPOCH = 1_800_000_000.0  # Unix time at virtual time 0.
REFUSED = Failure(reason=ENDPOINT_REFUSED, verdict=Verdict.NOT_RUN, detail="status 503")
UNREACHABLE = Failure(reason=ENDPOINT_UNREACHABLE, verdict=Verdict.NOT_RUN, detail="refused")
BROKEN = Failure(reason=ENDPOINT_FAILED, verdict=Verdict.MAY_HAVE_RUN, detail="reset")


def make_settings(host: str = "a", *, slack: float = 50.0) -> _settings.Settings:
    """Return settings of a forwarding host."""
    return _settings.Settings(
        host=host,
        zone=ZONE,
        region="region",
        platform=_settings.Platform(log="http://127.0.0.1:1", hosts="http://127.0.0.1:1"),
        forwarding=_settings.Forwarding(retry_slack=slack),
        timing=_settings.Timing(drain=7.5, stop_notice=2.8),
    )


def route(kind: str, service: str, *, name: str = "", **fields: object) -> Route:
    """Return a route whose path is its name."""
    name = name or kind
    defaults = {
        "timeout": 14.0 if kind == STREAM else 0.8,
        "target_latency": 1.0 if kind == STREAM else 0.3,
        "target_gap": 0.3 if kind == STREAM else 0.0,
        "max_attempts": 2,
        "resumable": kind == STREAM,
    }
    return Route(
        name=name,
        host="example",
        path_prefix=f"/{name}/",
        kind=kind,
        services=((service, 1.0),),
        **{**defaults, **fields},
    )


def table(
    version: int = 1,
    *,
    memory: int = 33_860,
    slots: int = 12,
    hold_time: float = 2.0,
    stride: int = 12,
) -> RouteTable:
    """Return a table with a route of each kind, and streams of both services to resume or not."""
    engine = EngineTraits(
        slots=slots,
        memory_tokens=memory,
        hold_time=hold_time,
        handle_time=0.5,
        switch_time=6.0,
        stride=stride,
    )
    return RouteTable(
        version=version,
        routes=(
            route(STREAM, MODEL),
            route(STREAM, MODEL, name="draft", resumable=False, max_attempts=1),
            route(SAFE, APP),
            route(STREAM, APP, name="feed"),
            route(STREAM, APP, name="news", resumable=False, max_attempts=1),
            route(UNSAFE, APP, max_attempts=1),
        ),
        services=(
            ServiceTraits(name=MODEL, max_connections=100, engine=engine),
            ServiceTraits(name=APP, max_connections=100),
        ),
    )


def engine(name: str, stage: str, *, zone: str = ZONE, **fields: object) -> Endpoint:
    """Return a model engine."""
    return Endpoint(
        name=name,
        service=MODEL,
        address=f"{name}:80",
        zone=zone,
        slots=12,
        stage=stage,
        **fields,
    )


def plain(name: str, *, zone: str = ZONE, **fields: object) -> Endpoint:
    """Return an endpoint of the plain service."""
    fields = {"slots": 6, **fields}
    return Endpoint(name=name, service=APP, address=f"{name}:80", zone=zone, **fields)


ENDPOINTS = (engine("p0", PREFILL), engine("d0", DECODE), engine("d1", DECODE)) + (
    plain("s0"),
    plain("s1"),
)


class Host:
    """One host's reducer; timers fire as time passes, all other effects are left to the test.

    Attributes:
        now: Virtual monotonic time, in seconds.
        effects: Effects other than timers, in order.
        stored: What hosts saved in the store of the builds that they use, by host; hosts may share
            it.
        era: Era of the store that they name.
        last_save: The last save that the store has taken.
        store_answers: Whether the store answers this host, at once.
        spare_part_is_up: Whether the other part is up, to which they save otherwise.
        offset: Offset of the last entry of the list of endpoints that it has read.
        history: Entries of that list that the store has kept when it starts.
        usual_part_is_up: Whether the part of the store is up to which hosts save first. What hosts
            saved can be read only if all parts are up.
    """

    reduce = staticmethod(_reducer.reduce)  # What applies events; raises what handlers raise.

    def __init__(
        self,
        *,
        name: str = "a",
        slack: float = 50.0,
        endpoints: tuple[Endpoint, ...] = ENDPOINTS,
        at: float = 100.0,
        stored: dict[str, SavedBuilds] | None = None,
        begun: tuple[BegunStream, ...] = (),
        builds: tuple[dict[str, dict[str, float]], ...] = (),
        own: frozenset[str] = frozenset(),
        era: int = 0,
        usual_part_is_up: bool = True,
        spare_part_is_up: bool = True,
        offset: int = 0,
        history: tuple[Listing, ...] = (),
    ) -> None:
        self.now = at
        self.state = _state.State(make_settings(name, slack=slack))
        self.effects: list[_effects.Effect] = []
        self._timers: dict[tuple[str, str], int] = {}
        self._queue: list[tuple[float, int, str, str]] = []
        self._order = itertools.count()
        self._calls = itertools.count(1)
        self.offset = offset
        self.spare_part_is_up = spare_part_is_up
        self.history = history
        self._told = 0
        self._checks_failed: dict[str, int] = {}
        self.stored: dict[str, SavedBuilds] = {} if stored is None else stored
        self.era = era
        self.last_save: SaveStreams | None = None
        self.usual_part_is_up = usual_part_is_up
        self.store_answers = False
        self.feed(
            _events.ForwarderBooted,
            owner=_wire.Owner(host=name, incarnation="1"),
            zone=ZONE,
            wall=EPOCH + at,
            seed=7,
        )
        self.store_answers = True
        if usual_part_is_up and spare_part_is_up:
            read = {"begun": begun, "builds": builds, "own": own, "history": history}
            self.feed(_events.SavedStreamsRead, saved=dict(self.stored), era=era, **read)
        self.feed(_events.RoutesRead, table=table())
        self.read_list(*endpoints)

    def feed(self, kind: type, **fields: object) -> list[_effects.Effect]:
        """Reduce an event and return its effects other than timers."""
        new_effects = []
        for effect in self.reduce(self.state, kind(at=self.now, **fields)):
            if isinstance(effect, _effects.StartTimer):
                name = (effect.timer, effect.key)
                if isinstance(effect, _effects.EnsureTimer) and name in self._timers:
                    continue
                self._timers[name] = next(self._order)
                entry = (self.now + effect.delay, self._timers[name], *name)
                heapq.heappush(self._queue, entry)
            elif isinstance(effect, _effects.StopTimer):
                self._timers.pop((effect.timer, effect.key), None)
            else:
                new_effects.append(effect)
        self.effects += new_effects
        for effect in new_effects if self.store_answers else ():
            self._answer_for_store(effect)
        return new_effects

    def _answer_for_store(self, effect: _effects.Effect) -> None:
        is_up = self.usual_part_is_up and self.spare_part_is_up
        if isinstance(effect, SaveStreams) and not (
            self.spare_part_is_up if effect.spare else self.usual_part_is_up
        ):
            self.fail_save()
        elif isinstance(effect, SaveStreams):
            self.last_save = effect
            self.stored[self.state.owner.host] = effect.saved
            self.feed(_events.StreamsSaved, failure=None)
        elif isinstance(effect, ReadSavedStreams) and is_up:
            self.read_saved()

    def read_saved(self) -> None:
        """Let the host read the builds that hosts saved."""
        self.feed(
            _events.SavedStreamsRead,
            begun=(),
            builds=(),
            own=frozenset(),
            saved=dict(self.stored),
            era=self.era,
            history=self.history,
        )

    def fail_save(self) -> None:
        """Answer a save with a failure."""
        failure = Failure(reason=LOG_UNAVAILABLE, verdict=Verdict.MAY_HAVE_RUN)
        self.feed(_events.StreamsSaved, failure=failure)

    def store_returns(self) -> None:
        """Let the store answer this host again; a save that was under way has failed."""
        self.store_answers = True
        if self.state["builds_saving"].is_saving:
            self.fail_save()
        if self.state["builds_saving"].is_reading and (
            self.usual_part_is_up and self.spare_part_is_up
        ):
            self.read_saved()

    def usual_part_returns(self) -> None:
        """Let all parts of the store be up again to which hosts save."""
        self.usual_part_is_up = self.spare_part_is_up = True
        if self.store_answers and self.state["builds_saving"].is_reading:
            self.read_saved()

    def run(self, seconds: float) -> list[_effects.Effect]:
        """Let time pass, and return the effects of the timers that fired."""
        end = self.now + seconds
        new_effects = []
        while self._queue and self._queue[0][0] <= end:
            at, order, timer, key = heapq.heappop(self._queue)
            if self._timers.get((timer, key)) == order:
                del self._timers[(timer, key)]
                self.now = max(self.now, at)
                new_effects += self.feed(_events.TimerFired, timer=timer, key=key)
        self.now = end
        return new_effects

    def read_list(self, *endpoints: Endpoint, whole: bool = False) -> list[_effects.Effect]:
        """Let the host read new entries of the list of endpoints, or the whole list."""
        listings = []
        for one in endpoints:
            self.offset += 1
            listings.append(Listing(name=one.name, offset=self.offset, endpoint=one))
        return self.feed(
            _events.EndpointsRead, listings=tuple(listings), upto=self.offset + 1, whole=whole
        )

    def restore_list(self, *endpoints: Endpoint) -> list[_effects.Effect]:
        """Let the host read the list as it came back from a copy, whose offsets begin anew."""
        self.note_era(self.era + 1)
        self.offset = 0
        return self.read_list(*endpoints, whole=True)

    def note_era(self, era: int) -> None:
        """Let the host notice that the store came back from a copy, unless it has."""
        if era > self.era:
            self.era = era
            self.feed(_events.StoreRestored, era=era)

    def drop(self, name: str) -> list[_effects.Effect]:
        """Let the host read that an endpoint was removed from the list."""
        self.offset += 1
        gone = Listing(name=name, offset=self.offset, endpoint=None)
        return self.feed(_events.EndpointsRead, listings=(gone,), upto=self.offset + 1)

    def hear(
        self,
        name: str,
        told: TellLoad | None = None,
        *,
        incarnation: str = "1",
        zone: str = ZONE,
    ) -> None:
        """Let the host get another host's datagram; an empty one if ``told`` is None."""
        told = told or TellLoad(addresses=(), sequence=1, loads={}, stopping=False, busy={})
        self.feed(
            _events.LoadTold,
            sender=_wire.Owner(host=name, incarnation=incarnation),
            zone=zone,
            address=f"{name}:1",
            sequence=told.sequence,
            loads=told.loads,
            begun=told.begun,
            builds=told.builds,
            crashes=told.crashes,
            sound=told.sound,
            limits=told.limits,
            leaving=told.leaving,
            unreached=told.unreached,
            routes_version=told.routes_version,
            observed=told.observed,
            counted=told.counted,
            signs=told.signs,
            used=told.used,
            stopping=told.stopping,
        )

    def know(self, name: str, *, incarnation: str = "1", zone: str = ZONE, **told: object) -> None:
        """Let the host know another one that takes hops, and hear its datagram."""
        hops = HopTarget(address=f"{name}:2", incarnation=incarnation)
        self.feed(_events.HostFound, host=name, address=f"{name}:1", zone=zone, hops=hops)
        self._told += 1
        fields = {"loads": {}, "stopping": False, "busy": {}, "routes_version": 1, **told}
        tell = TellLoad(addresses=(), sequence=self._told, **fields)
        self.hear(name, tell, incarnation=incarnation, zone=zone)

    def check_reach(self, *accepted: str) -> list[_effects.Effect]:
        """Answer the newest check of reach with the names of endpoints that accepted."""
        asked = [one for one in self.effects if isinstance(one, CheckReach)][-1]
        return self.feed(_events.ReachChecked, service=asked.service, accepted=accepted)

    def cut_off(self, service: str, seconds: float = 3.0) -> None:
        """Let all checks of a service fail for some time, from a request that isn't answered on."""
        end = self.now + seconds
        while self.now < end:
            self.run(0.05)
            checks = [one for one in self.effects if isinstance(one, CheckReach)]
            for one in checks[self._checks_failed.get(service, 0) :]:
                if one.service == service:
                    self.feed(_events.ReachChecked, service=service, accepted=())
            self._checks_failed[service] = len(checks)

    def ask(self, path: str, **fields: object) -> str:
        """Let a caller send a request, and return the call's id."""
        call_id = fields.pop("call_id", "") or self.new_call_id("c")
        is_stream = path in ("stream", "draft")
        seconds = fields.pop("seconds", 14.0 if is_stream else 1.5)
        sizes = {"prompt_tokens": 3_000, "max_tokens": 2_040, "length_hint": 800}
        defaults = sizes if is_stream else {}
        ask = Ask(
            call_id=call_id,
            trace_id=fields.pop("trace_id", f"t-{call_id}"),
            host="example",
            path=f"/{path}/x",
            deadline=self.now + seconds,
            **{**defaults, **fields},
        )
        self.feed(_events.ForwardArrived, ask=ask)
        return call_id

    # --- Endpoints' answers ----------------------------------------------------------------------

    def answer_hold(self, call_id: str, failure: Failure | None = None) -> list[_effects.Effect]:
        """Answer the newest hold of a call, with success or a failure."""
        asked = self.last_effect(TakeHold, call_id)
        return self.feed(
            _events.HoldAnswered,
            call_id=call_id,
            endpoint=asked.endpoint,
            hold="" if failure else f"h-{call_id}",
            failure=failure,
        )

    def answer_prefill(self, call_id: str, failure: Failure | None = None) -> list[_effects.Effect]:
        """Answer the newest prefill of a call, with success or a failure."""
        asked = self.last_effect(ReadPrompt, call_id)
        return self.feed(
            _events.PromptAnswered,
            call_id=call_id,
            endpoint=asked.endpoint,
            handle="" if failure else f"k-{call_id}",
            failure=failure,
        )

    def answer(
        self,
        call_id: str,
        status: int = 200,
        *,
        sent: type = Forward,
        not_run: bool = False,
        streams: bool = False,
        build: str = "",
    ) -> list[_effects.Effect]:
        """Answer the newest request that was sent for a call, to an endpoint by default."""
        effect = self.last_effect(sent, call_id)
        return self.feed(
            _events.AnswerCame,
            call_id=call_id,
            endpoint=effect.endpoint,
            number=effect.number,
            status=status,
            not_run=not_run,
            streams=streams,
            build=build,
        )

    def fail(
        self, call_id: str, failure: Failure, events: int = 0, *, sent: type = Forward
    ) -> list[_effects.Effect]:
        """Let the newest request that was sent for a call fail, at an endpoint by default."""
        effect = self.last_effect(sent, call_id)
        return self.feed(
            _events.TryFailed,
            call_id=call_id,
            endpoint=effect.endpoint,
            number=effect.number,
            failure=failure,
            events=events,
        )

    def answer_hop(
        self, call_id: str, status: int = 200, *, streams: bool = False, build: str = "v1"
    ) -> list[_effects.Effect]:
        """Answer the newest try of a call through another host."""
        return self.answer(call_id, status, sent=PassOn, streams=streams, build=build)

    def fail_hop(self, call_id: str, failure: Failure, events: int = 0) -> list[_effects.Effect]:
        """Let the newest try of a call through another host fail."""
        return self.fail(call_id, failure, events, sent=PassOn)

    def new_call_id(self, kind: str = "h") -> str:
        """Return the id of a new call."""
        return f"{kind}{next(self._calls)}"

    def pass_in(
        self,
        path: str,
        *,
        service: str = APP,
        call_id: str = "",
        hop: Hop | None = None,
        seconds: float = 0.0,
        fingerprints: tuple[str, ...] = (),
        key: str = "",
        **told: object,
    ) -> str:
        """Let another host pass a request to this one, and return the call's id."""
        call_id = call_id or self.new_call_id()
        is_stream = path in ("stream", "draft")
        sizes = {"prompt_tokens": 3_000, "max_tokens": 2_040, "length_hint": 800}
        ask = Ask(
            call_id=call_id,
            trace_id=f"t-{call_id}",
            host="example",
            path=f"/{path}/x",
            deadline=self.now + (seconds or (14.0 if is_stream else 1.5)),
            fingerprints=fingerprints,
            key=key,
            **(sizes if is_stream else {}),
        )
        fields = {"sender": "z", "service": service, "routes_version": 1, **told}
        self.feed(_events.CallPassedOn, ask=ask, hop=hop or Hop(**fields))
        return call_id

    def start_stream(self, path: str = "stream", **fields: object) -> str:
        """Send a streamed request, answer it up to its first event, and return the call's id."""
        call_id = self.ask(path, **fields)
        self.answer_hold(call_id)
        self.answer_prefill(call_id)
        self.answer(call_id, streams=True)
        return call_id

    # --- Effects and outcome of a call ------------------------------------------------------------

    def effects_of(self, kind: type, call_id: str) -> list:
        """Return all effects of a type for a call."""
        return [one for one in self.effects if isinstance(one, kind) and one.call_id == call_id]

    def last_effect(self, kind: type, call_id: str) -> object:
        """Return the newest effect of a type for a call."""
        return self.effects_of(kind, call_id)[-1]

    def refusal(self, call_id: str) -> Failure | None:
        """Return the failure that a call was answered with, or None."""
        found = self.effects_of(RefuseForward, call_id)
        return found[-1].failure if found else None

    def is_open(self, call_id: str) -> bool:
        """Tell whether a call is still served."""
        return call_id in self.state["forwarding"].calls


__all__ = [
    "APP",
    "BROKEN",
    "DECODE",
    "ENDPOINTS",
    "MODEL",
    "PREFILL",
    "REFUSED",
    "UNREACHABLE",
    "DropTry",
    "Forward",
    "Host",
    "PassOn",
    "ReadPrompt",
    "RefuseForward",
    "Relay",
    "TakeHold",
    "engine",
    "plain",
    "route",
    "table",
]
