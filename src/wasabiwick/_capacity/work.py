"""Probes of handling requests: messages, key owners, coordinators, renewals, engine reports."""

import itertools

import msgspec

from .. import _effects, _events
from .._effects import Effect, SendPeer
from .._events import Call, CallArrived, EngineReported, Event, PeerMessage, TimerFired
from .._reducer import reduce
from .._state import State
from .._wire import (
    Advanced,
    ClaimKey,
    EngineReport,
    KeyServed,
    Owner,
    Release,
    Renew,
    Reserve,
    StreamReport,
)
from . import fleet, letter
from .fit import Line, cpu_seconds, kept_bytes
from .probe import probe

REQUEST_COUNTS = (50, 100, 200, 400)
BATCH_COUNTS = (1, 16, 32, 64)
ATTEMPT_COUNTS = (50, 100, 200, 400)
STREAM_COUNTS = (8, 24, 48, 72)
POOL_ENGINE_COUNTS = (2, 4, 8, 16)
KEY_COUNTS = (500, 1_000, 2_000, 4_000)
SLOTS_PER_ENGINE = 96
KEY_HASH = f"{7:064x}"
PROMPT_TOKENS = 2_000
REQUESTING_HOST = "entry-900"  # Name of the sender of messages; the host itself is not simulated.


def engine_report(engine: str, streams: int, models: tuple[str, ...], at: int = 1) -> EngineReport:
    """Return a report of an engine with a number of running streams."""
    return EngineReport(
        engine=engine,
        sequence=at,
        slots=SLOTS_PER_ENGINE,
        used=streams,
        queued_prefill_tokens=1_200,
        prefill_rate=8_000.0,
        link_rate=1e9,
        decode_interval=0.004,
        kv_bytes_per_token=160_000,
        models=models,
        versions=("1",) * len(models),
        streams=tuple(
            StreamReport(
                request_id=f"customer-00007:0191d3a0-5b7c-7abc-8def-{number:012d}",
                attempt_id=f"{fleet.host_name(number % 44)}.0123456789ab.{number}",
                owner=f"{fleet.host_name(number % 44)}/0123456789ab",
                phase="decode",
                offset=number,
            )
            for number in range(streams)
        ),
    )


class RequestSimulation:
    """Requests at all hosts of a zone; messages and engine calls are answered immediately.

    Args:
        hosts: Number of hosts.
        engines: Number of engines.
        models: Number of models.
        batches: Number of output batches of each stream.
    """

    def __init__(self, *, hosts: int, engines: int, models: int, batches: int) -> None:
        self.batches = batches
        self.models = models
        self.streams_end = True  # If false, streams never end, so that requests stay in flight.
        self.now = 1.0
        self.messages = 0
        self.bytes = 0
        self.served = 0
        self.refused = 0
        entries = fleet.host_entries(hosts) + fleet.engine_entries(engines, models)
        self.states: dict[str, State] = {}
        for number in range(hosts):
            state = fleet.booted_state(fleet.host_name(number))
            fleet.deliver_host_list(state, entries)
            fleet.put_in_force(state, fleet.configuration_entries(20, models))
            self.states[fleet.host_name(number)] = state
        for number in range(engines):
            report = engine_report(f"engine-{number:04d}", 0, (fleet.model_name(number % models),))
            for state in self.states.values():
                reduce(state, EngineReported(at=self.now, report=report))

    def call(self, number: int) -> None:
        """Serve one generation with a request key, from the call to the last token."""
        name = fleet.host_name(number % len(self.states))
        call = Call(
            call_id=f"call-{number}",
            request_id=f"customer-00007:0191d3a0-5b7c-7abc-8def-{number:012d}",
            has_key=True,
            key_hash=KEY_HASH,
            kind="generate",
            target=fleet.model_name(number % self.models),
            deadline=self.now + 60.0,
            digest=KEY_HASH,
            prompt_tokens=PROMPT_TOKENS,
            max_tokens=450,
            pieces=tuple(range(number, number + 64)),
            born=fleet.START_UNIX_S + self.now,
        )
        self.now += 0.01
        self._deliver(name, CallArrived(at=self.now, call=call))

    def _deliver(self, name: str, event: Event) -> None:
        for effect in reduce(self.states[name], event):
            self._perform(name, effect)

    def _perform(self, name: str, effect: Effect) -> None:
        match effect:
            case SendPeer():
                self.messages += 1
                self.bytes += fleet.envelope_bytes(effect.message)
                owner = self.states[name].owner
                event = PeerMessage(
                    at=self.now, sender=owner, zone=fleet.ZONE, message=effect.message
                )
                self._deliver(effect.host, event)
            case _effects.StartPrefill():
                self._deliver(name, self._prefill_done(effect))
            case _effects.StartDecode():
                self._send_stream(name, effect)
            case _effects.FinishStream():
                self.served += 1
                self._deliver(
                    name,
                    _events.CallAnswered(
                        at=self.now, call_id=effect.call_id, request_id=effect.request_id
                    ),
                )
            case _effects.RefuseCall():
                self.refused += 1

    def _prefill_done(self, effect: _effects.StartPrefill) -> Event:
        return _events.PrefillDone.about(
            effect,
            at=self.now,
            handle="kv",
            expires_in=0.8,
            prompt_tokens=PROMPT_TOKENS,
            cached_tokens=0,
            seconds=0.2,
        )

    def _send_stream(self, name: str, effect: _effects.StartDecode) -> None:
        attempt_ids = {
            "request_id": effect.request_id,
            "attempt_id": effect.attempt_id,
            "endpoint": effect.endpoint,
        }
        for number in range(1, self.batches + 1):
            event = _events.StreamProgress(at=self.now, count=1, offset=number, **attempt_ids)
            self._deliver(name, event)
        if self.streams_end:
            end_event = _events.StreamEnded(
                at=self.now, offset=self.batches, finish="stop", **attempt_ids
            )
            self._deliver(name, end_event)


def _full_size_zone(batches: int = 1) -> RequestSimulation:
    return RequestSimulation(
        hosts=letter.HOSTS_PER_ZONE,
        engines=letter.ENGINES_PER_ZONE,
        models=letter.MODELS,
        batches=batches,
    )


@probe("request")
def request() -> list[Line]:
    """Measure the cost of complete requests, summed over all hosts of a zone of required size."""
    messages, sizes, seconds = [], [], []
    for count in REQUEST_COUNTS:
        simulations: list[RequestSimulation] = []

        def prepare(
            count: int = count, simulations: list[RequestSimulation] = simulations
        ) -> object:
            simulations.append(_full_size_zone())
            one = simulations[-1]
            return lambda: [one.call(number) for number in range(count)]

        run_seconds = cpu_seconds(prepare)
        last_simulation = simulations[-1]
        if last_simulation.served != count:
            raise RuntimeError(
                f"{count - last_simulation.served} of {count} requests were not served"
            )
        messages.append((count, float(last_simulation.messages)))
        sizes.append((count, last_simulation.bytes / 1e3))
        seconds.append((count, run_seconds * 1e6))
    unit = "requests"
    return [
        Line(name="messages between hosts", x_unit=unit, y_unit="1", points=messages),
        Line(name="payload of messages between hosts", x_unit=unit, y_unit="kB", points=sizes),
        Line(name="requests, reducer time on all hosts", x_unit=unit, y_unit="us", points=seconds),
    ]


@probe("output")
def output() -> list[Line]:
    """Measure the reducer's processor time per batch of output."""
    seconds = []
    for count in BATCH_COUNTS:

        def prepare(count: int = count) -> object:
            one = RequestSimulation(hosts=2, engines=4, models=1, batches=count)
            return lambda: [one.call(number) for number in range(50)]

        seconds.append((count, cpu_seconds(prepare) / 50 * 1e6))
    return [Line(name="output, reducer time", x_unit="batches", y_unit="us", points=seconds)]


@probe("in flight")
def in_flight() -> list[Line]:
    """Measure the memory of requests in flight at a host that has every role that they need."""
    memory_points = []
    for count in ATTEMPT_COUNTS:
        one = RequestSimulation(hosts=1, engines=64, models=1, batches=1)
        one.streams_end = False
        memory_bytes = kept_bytes(
            lambda one=one, n=count: [one.call(number) for number in range(n)]
        )
        if len(one.states[fleet.host_name(0)]["generation"].running) != count:
            raise RuntimeError(f"not all of {count} requests are in flight")
        memory_points.append((count, memory_bytes / 1e3))
    return [
        Line(
            name="requests in flight in memory",
            x_unit="requests",
            y_unit="kB",
            points=memory_points,
        )
    ]


def _coordinator_state(engines: int) -> State:
    """Return the state of the only host of a zone, which coordinates its only pool."""
    state = fleet.booted_state(fleet.host_name(0))
    fleet.deliver_host_list(state, fleet.host_entries(1) + fleet.engine_entries(engines))
    fleet.put_in_force(state, fleet.configuration_entries(20, 1))
    for number in range(engines):
        # Reports with the same output interval at small and large batches. From them the
        # coordinator infers that streams in all of the engine's slots meet the latency target.
        for at, batch in enumerate((1, 90) * 20 + (0,)):
            report = engine_report(f"engine-{number:04d}", 0, (fleet.model_name(0),), at + 1)
            report = msgspec.structs.replace(report, used=batch)
            reduce(state, EngineReported(at=1.0, report=report))
    return state


_attempt_numbers = itertools.count()


def _reserve_message(number: int, at: float) -> Reserve:
    return Reserve(
        request_id=f"customer-00007:0191d3a0-5b7c-7abc-8def-{number:012d}",
        attempt_id=f"{REQUESTING_HOST}.0123456789ab.{number}",
        owner=Owner(host=REQUESTING_HOST, incarnation="0123456789ab"),
        engine="",
        config_version=1,
        deadline=fleet.START_UNIX_S + at + 60,
        customer="customer-00007",
        prompt_tokens=PROMPT_TOKENS,
        max_tokens=450,
        pieces=(1, 2, 3, 4, 5, 6),
        model=fleet.model_name(0),
        zone=fleet.ZONE,
        target=fleet.START_UNIX_S + at + 30.0,
    )


def _hold_reservations(state: State, count: int, at: float = 1.1) -> list[Reserve]:
    """Reserve slots for new attempts, advance them to decode, and return the Reserve messages."""
    reserve_messages = []
    for _ in range(count):
        at += 0.01
        one = _reserve_message(next(_attempt_numbers), at)
        fleet.deliver_message(state, REQUESTING_HOST, one, at)
        for phase in ("transfer", "decode"):
            fleet.deliver_message(state, REQUESTING_HOST, _advanced_message(one, phase), at)
        reserve_messages.append(one)
    reservation_count = len(
        state["coordinator"].pools[fleet.model_name(0), fleet.ZONE].reservations
    )
    if reservation_count < count:
        raise RuntimeError(f"{count - reservation_count} of {count} reservations were not granted")
    return reserve_messages


def _advanced_message(reserve_message: Reserve, phase: str) -> Advanced:
    return Advanced(
        attempt_id=reserve_message.attempt_id,
        model=reserve_message.model,
        zone=reserve_message.zone,
        phase=phase,
        seconds=0.2,
        tokens=PROMPT_TOKENS,
    )


@probe("coordinator")
def coordinator() -> list[Line]:
    """Measure the processor time and memory of a pool's reservations at its coordinator."""
    seconds, memory_points = [], []
    for count in REQUEST_COUNTS:

        def prepare(count: int = count) -> object:
            state = _coordinator_state(engines=8)
            return lambda: _reserve_and_release(state, count)

        seconds.append((count, cpu_seconds(prepare) * 1e6))
        state = _coordinator_state(engines=8)
        memory_points.append(
            (count, kept_bytes(lambda s=state, n=count: _hold_reservations(s, n)) / 1e3)
        )
    unit = "reservations"
    return [
        Line(name="reservations, reducer time", x_unit=unit, y_unit="us", points=seconds),
        Line(name="reservations in memory", x_unit=unit, y_unit="kB", points=memory_points),
    ]


def _reserve_and_release(state: State, count: int) -> None:
    for one in _hold_reservations(state, count):
        message = Release(
            request_id=one.request_id,
            attempt_id=one.attempt_id,
            owner=one.owner,
            engine="engine-0000",
            model=one.model,
            zone=one.zone,
        )
        fleet.deliver_message(state, REQUESTING_HOST, message, 1.2)


@probe("reports")
def reports() -> list[Line]:
    """Measure an engine report by its streams, and a periodic check of a pool by reservations."""
    sizes, seconds, sweeps = [], [], []
    state = _coordinator_state(engines=8)
    for count in STREAM_COUNTS:
        data = msgspec.json.encode(engine_report("engine-0000", count, (fleet.model_name(0),)))
        sizes.append((count, float(len(data))))
        run_seconds = cpu_seconds(
            lambda d=data: lambda: [_read_report(state, d) for _ in range(100)]
        )
        seconds.append((count, run_seconds / 100 * 1e6))
    for count in REQUEST_COUNTS:
        pool_state = _coordinator_state(engines=8)
        _hold_reservations(pool_state, count)
        run_seconds = cpu_seconds(lambda b=pool_state: lambda: [_run_sweep(b) for _ in range(20)])
        sweeps.append((count, run_seconds / 20 * 1e6))
    return [
        Line(name="engine report", x_unit="streams", y_unit="B", points=sizes),
        Line(name="engine report applied", x_unit="streams", y_unit="us", points=seconds),
        Line(name="periodic check of a pool", x_unit="reservations", y_unit="us", points=sweeps),
    ]


def _read_report(state: State, data: bytes) -> None:
    report = msgspec.json.decode(data, type=EngineReport)
    reduce(state, EngineReported(at=1.2, report=report))


def _run_sweep(state: State) -> None:
    reduce(state, TimerFired(at=1.2, timer="sweep"))


@probe("renewals")
def renewals() -> list[Line]:
    """Measure the cost of a renewal message by the number of reservations that it renews."""
    sizes, seconds = [], []
    for count in ATTEMPT_COUNTS:
        state = _coordinator_state(engines=8)
        reserve_messages = _hold_reservations(state, count)
        message = Renew(
            owner=reserve_messages[0].owner,
            attempts=tuple(
                (f"engine-{0:04d}", a.request_id, a.attempt_id, True) for a in reserve_messages
            ),
            model=fleet.model_name(0),
            zone=fleet.ZONE,
        )
        sizes.append((count, float(fleet.envelope_bytes(message))))
        data = msgspec.json.encode(message)
        run_seconds = cpu_seconds(
            lambda s=state, d=data: lambda: [_read_renewal(s, d) for _ in range(20)]
        )
        seconds.append((count, run_seconds / 20 * 1e6))
    unit = "reservations"
    return [
        Line(name="renewal message", x_unit=unit, y_unit="B", points=sizes),
        Line(name="renewal message applied", x_unit=unit, y_unit="us", points=seconds),
    ]


def _read_renewal(state: State, data: bytes) -> None:
    fleet.deliver_message(state, REQUESTING_HOST, msgspec.json.decode(data, type=Renew), 1.2)


@probe("engines")
def engines() -> list[Line]:
    """Measure the coordinator's memory by the number of engines of its pool."""
    memory_points = []
    for count in POOL_ENGINE_COUNTS:

        def build(count: int = count) -> State:
            state = _coordinator_state(engines=count)
            for number in range(count):
                report = engine_report(f"engine-{number:04d}", 70, (fleet.model_name(0),), at=99)
                data = msgspec.json.encode(report)
                _read_report(state, data)
            return state

        memory_points.append((count, kept_bytes(build) / 1e3))
    return [
        Line(
            name="engines of a pool in memory", x_unit="engines", y_unit="kB", points=memory_points
        )
    ]


@probe("keys")
def keys() -> list[Line]:
    """Measure the processor time and memory of request keys at their owner."""
    seconds, memory_points = [], []
    for count in KEY_COUNTS:
        seconds.append(
            (count, cpu_seconds(lambda n=count: _key_owner_work(n, with_end=True)) * 1e6)
        )
        memory_points.append((count, kept_bytes(lambda n=count: _key_owner_state(n)) / 1e3))
    unit = "keys"
    return [
        Line(name="request keys, reducer time", x_unit=unit, y_unit="us", points=seconds),
        Line(name="request keys in memory", x_unit=unit, y_unit="kB", points=memory_points),
    ]


def _key_owner_state(count: int) -> State:
    state = fleet.booted_state(fleet.host_name(0))
    _deliver_key_messages(state, range(count), with_end=False)
    return state


def _key_owner_work(count: int, with_end: bool) -> object:
    state = fleet.booted_state(fleet.host_name(0))
    return lambda: _deliver_key_messages(state, range(count), with_end=with_end)


def _deliver_key_messages(state: State, numbers: range, with_end: bool) -> None:
    claimant = Owner(host=REQUESTING_HOST, incarnation="0123456789ab")
    for number in numbers:
        request_id = f"customer-00007:0191d3a0-5b7c-7abc-8def-{number:012d}"
        attempt_id = f"{REQUESTING_HOST}.0123456789ab.{number}"
        claim = ClaimKey(request_id=request_id, attempt_id=attempt_id, claimant=claimant)
        served_message = KeyServed(
            request_id=request_id, attempt_id=attempt_id, serving=claimant, engine="engine-0000"
        )
        fleet.deliver_message(state, REQUESTING_HOST, claim, 1.0)
        fleet.deliver_message(state, REQUESTING_HOST, served_message, 1.1)
        if with_end:
            fleet.deliver_message(
                state, REQUESTING_HOST, msgspec.structs.replace(served_message, ended=True), 1.2
            )
