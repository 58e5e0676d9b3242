"""A fleet with services, lists and callers that retry until they have an answer."""

import json

from .._effects import AnswerCall, CallService, CloseCall, RefuseCall
from .._events import Call, CallAnswered, CallArrived, CallerGone
from .._handlers import once_work
from .._lists import ServiceTraits
from .._verdict import Verdict
from .._wire import Configuration, HostEntry
from ._fleet import WALL, Fleet, Host
from ._network import Network
from ._service import FakeService

KEY_HASH = "hash"
PATIENCE = 8.0  # Seconds until a call's deadline.

SERVICES = {
    "plain": ServiceTraits(name="plain"),
    "keyed": ServiceTraits(name="keyed", accepts_key=True),
    "asked": ServiceTraits(name="asked", can_query=True),
    "fenced": ServiceTraits(name="fenced", fencing="honoured"),
    "fenced_asked": ServiceTraits(name="fenced_asked", can_query=True, fencing="honoured"),
}


class BrokenPromiseError(AssertionError):
    """A promise of the system did not hold."""


class Caller:
    """One caller, its key and what it was told.

    Args:
        key: Idempotency-Key of all its calls.
        service: Service that it calls.
    """

    def __init__(self, key: str, service: str) -> None:
        self.key = key
        self.born = WALL
        self.service = service
        self.calls = 0
        self.open: dict[str, Host] = {}
        self.answer: AnswerCall | None = None
        self.refusals: list[RefuseCall] = []
        self.not_run_at = -1
        self.arrivals: dict[str, int] = {}


class World:
    """Hosts, services and callers, with the promises checked whenever something was told.

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
        self.fleet.on_sent = self._note_sent
        self._told = 0
        self._arrivals: dict[str, int] = {}
        self._by_call: dict[str, Caller] = {}
        self._closed: set[str] = set()
        self.fleet.log.append("configuration", (_configuration(),), WALL)
        for name in names:
            self.fleet.boot(name)
        self.fleet.list_hosts()
        self.network.settle()

    # --- Callers ---------------------------------------------------------------------------------

    def call(self, caller: Caller, name: str, *, tell: bool = True) -> str:
        """Let a caller call a host, after it has given up on its earlier calls.

        Args:
            caller: Who calls.
            name: Host that the balancer picks.
            tell: Whether the hosts of the earlier calls hear that the caller left.

        Returns:
            Identifier of the call, or an empty string if the host is down.
        """
        host = self.fleet.hosts[name]
        if not host.alive or caller.answer:
            return ""
        if tell:
            self.leave(caller)
        caller.calls += 1
        call_id = f"{caller.key}/{caller.calls}"
        caller.open[call_id] = host
        caller.arrivals[call_id] = caller.calls
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
            deadline=self.fleet.now + PATIENCE,
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

    # --- Promises --------------------------------------------------------------------------------

    def check(self) -> None:
        """Take in what callers were told, and check every promise.

        Raises:
            BrokenPromiseError: If one does not hold.
        """
        while self._told < len(self.fleet.told):
            host, effect = self.fleet.told[self._told]
            self._told += 1
            self._take(host, effect)
        for caller in self.callers:
            self._check_effects(caller)

    def _take(self, host: Host, effect: object) -> None:
        caller = self._by_call[effect.call_id]
        if effect.call_id in self._closed:
            if isinstance(effect, CloseCall):
                return
            raise BrokenPromiseError(f"call {effect.call_id!r} was answered twice")
        self._closed.add(effect.call_id)
        if isinstance(effect, CloseCall):
            caller.open.pop(effect.call_id, None)
            return
        heard = effect.call_id in caller.open
        if isinstance(effect, AnswerCall):
            self._take_answer(host, caller, effect, heard)
        elif isinstance(effect, RefuseCall):
            self._take_refusal(caller, effect)
        caller.open.pop(effect.call_id, None)

    def _take_answer(self, host: Host, caller: Caller, effect: AnswerCall, heard: bool) -> None:
        effects = self.effects(caller)
        if not effects or effect.body != f"{caller.key} by {effects[0]}":
            raise BrokenPromiseError(
                f"{caller.key!r} got an answer that is not its own: {effect!r}"
            )
        answered = CallAnswered(at=self.fleet.now, call_id=effect.call_id, request_id=caller.key)
        gone = CallerGone(at=self.fleet.now, call_id=effect.call_id, request_id=caller.key)
        if heard:
            caller.answer = effect
        self.fleet.post(host, answered if heard else gone)

    def _take_refusal(self, caller: Caller, effect: RefuseCall) -> None:
        caller.refusals.append(effect)
        if effect.failure.verdict is Verdict.NOT_RUN:
            # It speaks of this call and all before it; a newer one may run.
            caller.not_run_at = max(caller.not_run_at, caller.arrivals[effect.call_id])

    def effects(self, caller: Caller) -> list[str]:
        """Return the attempts that took effect for a caller's key."""
        return self.services[caller.service].effects.get(caller.key, [])

    def _check_effects(self, caller: Caller) -> None:
        effects = self.effects(caller)
        if len(effects) > 1:
            raise BrokenPromiseError(f"{caller.key!r} ran {len(effects)} times: {effects}")
        if effects and self._arrivals[effects[0]] <= caller.not_run_at:
            raise BrokenPromiseError(
                f"{caller.key!r} ran, and NOT_RUN was said to the call or a later one"
            )

    def _note_sent(self, host: Host, effect: object) -> None:
        """Note which call an attempt that is sent to a service came in with."""
        if isinstance(effect, CallService):
            work = once_work.work_of_attempt(host.state, effect.attempt_id)
            self._arrivals[effect.attempt_id] = self._by_call[work.call.call_id].arrivals[
                work.call.call_id
            ]

    # --- Recovery --------------------------------------------------------------------------------

    def heal(self, rounds: int = 120) -> None:
        """End all faults, and let every caller retry until it has a lasting answer.

        Raises:
            BrokenPromiseError: If a caller gets no lasting answer.
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
        raise BrokenPromiseError(
            f"{[c.key for c in waiting]} got no lasting answer: {self._last()}"
        )

    def _is_settled(self, caller: Caller) -> bool:
        if caller.answer:
            return True
        # An outcome that nobody can know is told alike by every host.
        lasting = [one.failure.reason.code for one in caller.refusals[-len(self.fleet.hosts) :]]
        return (
            len(lasting) == len(self.fleet.hosts)
            and set(lasting) == {"outcome_unknown"}
            and not self.services[caller.service].traits.accepts_key
        )

    def _last(self) -> list[object]:
        return [caller.refusals[-3:] for caller in self.callers if not caller.answer]

    def dispatched(self) -> int:
        """Count calls to services that are on their way."""
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
