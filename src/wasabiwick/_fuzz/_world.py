"""System that the fuzzer tests: a fleet, fake services, and callers that retry until answered."""

import json

from .._effects import AnswerCall, CallService, CloseCall, RefuseCall
from .._events import Call, CallAnswered, CallArrived, CallerGone
from .._handlers import once_work
from .._lists import ServiceTraits
from .._verdict import Verdict
from .._wire import Configuration, HostEntry
from ._fleet import INITIAL_UNIX_TIME_S, Fleet, Host
from ._network import Network
from ._service import FakeService

KEY_HASH = "hash"
CALL_TIMEOUT_S = 8.0  # Time from a call's arrival to its deadline.

SERVICES = {
    "plain": ServiceTraits(name="plain"),
    "keyed": ServiceTraits(name="keyed", accepts_key=True),
    "asked": ServiceTraits(name="asked", can_query=True),
    "fenced": ServiceTraits(name="fenced", fencing="honoured"),
    "fenced_asked": ServiceTraits(name="fenced_asked", can_query=True, fencing="honoured"),
}


class InvariantError(AssertionError):
    """An invariant of the system was violated."""


class Caller:
    """One caller, its key and the replies that it got.

    Args:
        key: Idempotency-Key of all its calls.
        service: Service that it calls.
    """

    def __init__(self, key: str, service: str) -> None:
        self.key = key
        self.born = INITIAL_UNIX_TIME_S
        self.service = service
        self.calls = 0
        self.open: dict[str, Host] = {}
        self.answer: AnswerCall | None = None
        self.refusals: list[RefuseCall] = []
        self.last_not_run = -1
        self.call_numbers: dict[str, int] = {}


class World:
    """Hosts, services and callers, and the invariants that are checked after each step.

    Args:
        zones: Availability zone of each host.
        callers: Service of each caller.
    """

    def __init__(self, zones: list[str], callers: list[str], **settings: object) -> None:
        names = {f"host-{i}": zone for i, zone in enumerate(zones)}
        endpoints = [
            HostEntry(name=f"{name}-1", kind="service", zone=zones[0], address="x", service=name)
            for name in SERVICES
        ]
        self.fleet = Fleet(names, endpoints, **settings)
        self.services = {name: FakeService(traits) for name, traits in SERVICES.items()}
        self.network = Network(self.fleet, self.services)
        self.callers = [Caller(f"key-{i}", service) for i, service in enumerate(callers)]
        self.fleet.on_sent = self._record_attempt
        self._checked_effects = 0
        self._attempt_numbers: dict[str, int] = {}
        self._by_call: dict[str, Caller] = {}
        self._closed: set[str] = set()
        self.fleet.log.append("configuration", (_configuration(),), INITIAL_UNIX_TIME_S)
        for name in names:
            self.fleet.boot(name)
        self.fleet.list_hosts()
        self.network.settle()

    # --- Callers ---------------------------------------------------------------------------------

    def call(self, caller: Caller, name: str, *, tell: bool = True) -> str:
        """Let a caller call a host, after it has abandoned its earlier calls.

        Args:
            caller: The caller.
            name: Host that the load balancer picks.
            tell: Whether the hosts of the earlier calls notice that the caller has left.

        Returns:
            Identifier of the call; empty if the host is down or the caller has its answer.
        """
        host = self.fleet.hosts[name]
        if not host.alive or caller.answer:
            return ""
        if tell:
            self.leave(caller)
        caller.calls += 1
        call_id = f"{caller.key}/{caller.calls}"
        caller.open[call_id] = host
        caller.call_numbers[call_id] = caller.calls
        self._by_call[call_id] = caller
        self.fleet.post(host, CallArrived(at=self.fleet.now, call=self._call_of(caller, call_id)))
        self.check()
        return call_id

    def _call_of(self, caller: Caller, call_id: str) -> Call:
        return Call(
            call_id=call_id,
            request_id=caller.key,
            has_key=True,
            key_hash=KEY_HASH,
            kind="service",
            target=caller.service,
            path="/sign-up",
            digest=caller.key,
            born=caller.born,
            deadline=self.fleet.now + CALL_TIMEOUT_S,
        )

    def leave(self, caller: Caller) -> None:
        """Close a caller's connections."""
        for call_id, host in list(caller.open.items()):
            del caller.open[call_id]
            gone = CallerGone(at=self.fleet.now, call_id=call_id, request_id=caller.key)
            self.fleet.post(host, gone)

    def crash(self, name: str) -> None:
        """End a host's run; its callers see their connections end."""
        host = self.fleet.hosts[name]
        self.fleet.crash(name)
        for caller in self.callers:
            caller.open = {one: at for one, at in caller.open.items() if at is not host}

    # --- Invariants ------------------------------------------------------------------------------

    def check(self) -> None:
        """Process the new replies to callers, and check every invariant.

        Raises:
            InvariantError: If one is violated.
        """
        while self._checked_effects < len(self.fleet.caller_effects):
            host, effect = self.fleet.caller_effects[self._checked_effects]
            self._checked_effects += 1
            self._record(host, effect)
        for caller in self.callers:
            self._check_effects(caller)

    def _record(self, host: Host, effect: object) -> None:
        caller = self._by_call[effect.call_id]
        if effect.call_id in self._closed:
            if isinstance(effect, CloseCall):
                return
            raise InvariantError(f"call {effect.call_id!r} was answered twice")
        self._closed.add(effect.call_id)
        if isinstance(effect, CloseCall):
            caller.open.pop(effect.call_id, None)
            return
        connected = effect.call_id in caller.open
        if isinstance(effect, AnswerCall):
            self._record_answer(host, caller, effect, connected)
        elif isinstance(effect, RefuseCall):
            self._record_refusal(caller, effect)
        caller.open.pop(effect.call_id, None)

    def _record_answer(
        self, host: Host, caller: Caller, effect: AnswerCall, connected: bool
    ) -> None:
        effects = self.effects(caller)
        if not effects or effect.body != f"{caller.key} by {effects[0]}":
            raise InvariantError(f"{caller.key!r} got the answer to another call: {effect!r}")
        answered = CallAnswered(at=self.fleet.now, call_id=effect.call_id, request_id=caller.key)
        gone = CallerGone(at=self.fleet.now, call_id=effect.call_id, request_id=caller.key)
        if connected:
            caller.answer = effect
        self.fleet.post(host, answered if connected else gone)

    def _record_refusal(self, caller: Caller, effect: RefuseCall) -> None:
        caller.refusals.append(effect)
        if effect.failure.verdict is Verdict.NOT_RUN:
            # NOT_RUN says that this call and the earlier ones never run; a later call still may.
            caller.last_not_run = max(caller.last_not_run, caller.call_numbers[effect.call_id])

    def effects(self, caller: Caller) -> list[str]:
        """Return the attempts that took effect for a caller's key."""
        return self.services[caller.service].effects.get(caller.key, [])

    def _check_effects(self, caller: Caller) -> None:
        effects = self.effects(caller)
        if len(effects) > 1:
            raise InvariantError(f"{caller.key!r} ran {len(effects)} times: {effects}")
        if effects and self._attempt_numbers[effects[0]] <= caller.last_not_run:
            raise InvariantError(
                f"{caller.key!r} ran although NOT_RUN was reported for that call or a later one"
            )

    def _record_attempt(self, host: Host, effect: object) -> None:
        """Record the number of the call that an attempt serves, when it calls a service."""
        if isinstance(effect, CallService):
            work = once_work.work_of_attempt(host.state, effect.attempt_id)
            self._attempt_numbers[effect.attempt_id] = self._by_call[
                work.call.call_id
            ].call_numbers[work.call.call_id]

    # --- Recovery --------------------------------------------------------------------------------

    def heal(self, rounds: int = 120) -> None:
        """End all faults, and let every caller retry until its result is final.

        Raises:
            InvariantError: If a caller's result is not final after ``rounds`` rounds.
        """
        fleet = self.fleet
        fleet.log.up = True
        for name, host in fleet.hosts.items():
            if not host.alive:
                fleet.boot(name)
            fleet.resume(name)
        fleet.list_hosts()
        names = sorted(fleet.hosts)
        for number in range(rounds):
            self.network.settle()
            self.check()
            waiting = [caller for caller in self.callers if not self._is_settled(caller)]
            if not waiting:
                return
            for caller in waiting:
                if not caller.open:
                    self.call(caller, names[number % len(names)])
            for _ in range(10):
                fleet.advance(0.05)
                self.network.settle()
        raise InvariantError(
            f"{[c.key for c in waiting]} got no final answer: {self._recent_refusals()}"
        )

    def _is_settled(self, caller: Caller) -> bool:
        if caller.answer:
            return True
        # An outcome that can't be determined is final once every host has reported it.
        codes = [one.failure.reason.code for one in caller.refusals[-len(self.fleet.hosts) :]]
        return (
            len(codes) == len(self.fleet.hosts)
            and set(codes) == {"outcome_unknown"}
            and not self.services[caller.service].traits.accepts_key
        )

    def _recent_refusals(self) -> list[object]:
        return [caller.refusals[-3:] for caller in self.callers if not caller.answer]

    def dispatched(self) -> int:
        """Return the number of calls to services that are in flight."""
        return sum(isinstance(item.effect, CallService) for item in self.fleet.in_flight)


def _configuration() -> Configuration:
    services = {
        name: {
            "accepts_key": traits.accepts_key,
            "can_query": traits.can_query,
            "fencing": traits.fencing,
        }
        for name, traits in SERVICES.items()
    }
    plans = {"customer": {"plan": "basic", "keys": [KEY_HASH]}}
    allowances = {"plans": {"basic": {"services": list(SERVICES)}}, "services": services}
    return Configuration(
        version=1,
        replaces=0,
        author="test",
        plans=json.dumps(plans),
        allowances=json.dumps(allowances),
    )
