"""Heartbeats: each host of a zone is watched by the few hosts that follow it in a ring.

So the traffic of a host does not grow with the number of hosts in the zone. A watching host
reports to the whole zone only if a host falls silent, comes back or stops, which is rare.
"""

import typing

from .._effects import Count, LogLine, SendPeer, StartTimer
from .._events import Booted, PeerFailed, PeerMessage, StopAsked, TimerFired
from .._reducer import Step, handles, on_message, on_timer
from .._settings import Settings
from .._state import State, state_slice
from .._wire import Heartbeat, HostSeen, Owner
from . import lists, members
from .members import DEAD, LIVE, SILENT, STOPPING

MAX_FAILURES = 2  # After this many consecutive failed calls to a host, it counts as silent.
REPORT_INTERVAL_S = 5.0  # Time between repeated reports that the same host is dead.


@state_slice("members_watch")
class WatchState:
    """This host's last heartbeat, its reports of silent hosts, and the hosts that it watches."""

    __slots__ = ("sequence", "beat_at", "told_at", "watched_hosts")

    def __init__(self, cfg: Settings) -> None:
        self.sequence = 0
        self.beat_at = 0.0
        self.told_at: dict[str, float] = {}  # By silent host, the time of the last report.
        self.watched_hosts: set[str] = set()


@handles(Booted)
def start_heartbeats(state: State, event: Booted) -> typing.Iterator[Step]:
    """Start the heartbeats."""
    state["members_watch"].beat_at = event.at
    yield StartTimer(timer="heartbeat", delay=state.rng.uniform(0, state.cfg.timing.heartbeat))


@on_timer("heartbeat")
def send_heartbeats(state: State, event: TimerFired) -> typing.Iterator[Step]:
    """Send a heartbeat to this host's watchers, and check which hosts have fallen silent."""
    _reset_silence_after_pause(state, event.at)
    state["members_watch"].beat_at = event.at
    yield StartTimer(timer="heartbeat", delay=state.cfg.timing.heartbeat)
    message = _heartbeat(state, event.at)
    for host in members.watchers_of(state, state.owner.host):
        yield SendPeer(host=host, message=message)
    yield from _check_peers(state, event.at)


def _heartbeat(state: State, at: float) -> Heartbeat:
    watch_state = state["members_watch"]
    watch_state.sequence += 1
    return Heartbeat(
        owner=state.owner,
        zone=state.zone,
        sequence=watch_state.sequence,
        version=lists.version(state),
        offset=lists.offset(state),
        stopping=state.stopping,
        leaving=members.leaving_signs(state, at),
    )


def _reset_silence_after_pause(state: State, at: float) -> None:
    """Measure the silence of all peers anew after a pause of this host, which missed heartbeats."""
    timing = state.cfg.timing
    if at - state["members_watch"].beat_at > timing.heartbeat + timing.peer_suspect / 2:
        for peer in state["members"].peers.values():
            peer.heard = at


def _check_peers(state: State, at: float) -> typing.Iterator[Step]:
    _update_watched(state, at)
    any_state_changed = False
    for host, peer in state["members"].peers.items():
        seen_state = _state_of(state, host, peer, at)
        if seen_state != peer.state:
            peer.state = seen_state
            any_state_changed = True
            yield from _report_peer(state, host, at)
        elif (
            seen_state == DEAD
            and at - state["members_watch"].told_at.get(host, 0) > REPORT_INTERVAL_S
        ):
            yield from _report_peer(state, host, at)
    if any_state_changed:
        yield from members.refresh(state, at)


def _update_watched(state: State, at: float) -> None:
    """Measure silence from now for the hosts that this host has just begun to watch."""
    watch_state, own_host = state["members_watch"], state.owner.host
    hosts = state["members"].peers
    watched_hosts = {host for host in hosts if own_host in members.watchers_of(state, host)}
    for host in watched_hosts - watch_state.watched_hosts:
        hosts[host].heard = at
    watch_state.watched_hosts = watched_hosts


def _state_of(state: State, host: str, peer: members.Peer, at: float) -> str:
    timing = state.cfg.timing
    silence = at - peer.heard if host in state["members_watch"].watched_hosts else 0.0
    if silence >= timing.peer_dead:
        return DEAD
    if silence >= timing.peer_suspect or _unreachable(state, peer, at):
        return SILENT
    return STOPPING if peer.state == STOPPING else LIVE


def _unreachable(state: State, peer: members.Peer, at: float) -> bool:
    """Return whether calls to a host fail.

    ``timing.peer_dead`` seconds after the last failure, the host counts as reachable again.
    """
    return peer.failures >= MAX_FAILURES and at - peer.failed_at < state.cfg.timing.peer_dead


def _report_peer(state: State, host: str, at: float) -> typing.Iterator[Step]:
    """Report to the whole zone the state in which this host sees another."""
    peer = state["members"].peers[host]
    state["members_watch"].told_at[host] = at
    message = HostSeen(host=Owner(host=host, incarnation=peer.incarnation), state=peer.state)
    yield LogLine(event="host_seen", fields={"host": host, "state": peer.state})
    yield from _broadcast(state, message, except_host=host)


def _broadcast(
    state: State, message: Heartbeat | HostSeen, except_host: str = ""
) -> typing.Iterator[Step]:
    for name in members.ring(state):
        if name not in (except_host, state.owner.host):
            yield SendPeer(host=name, message=message)


@on_message(Heartbeat)
def heartbeat_received(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Record that a host is alive, its configuration version and the endpoints it sees leaving."""
    heartbeat = event.message
    if heartbeat.zone == state.zone:
        yield from _record_heartbeat(state, event, heartbeat)
    yield from members.note_leaving(state, heartbeat.leaving, event.at)
    yield from lists.record_peer_version(state, heartbeat.owner.host, heartbeat.version, event.at)


def _record_heartbeat(
    state: State, event: PeerMessage, heartbeat: Heartbeat
) -> typing.Iterator[Step]:
    members_state = state["members"]
    has_changed = heartbeat.owner.host not in members_state.peers
    peer = members.add_peer(state, heartbeat.owner.host, event.at)
    if heartbeat.owner.incarnation in peer.ended_runs:
        yield Count(metric="heartbeat_stale")
        return
    is_new_run = _adopt_incarnation(peer, heartbeat.owner.incarnation)
    peer.heard = event.at
    seen_state = STOPPING if heartbeat.stopping else LIVE
    if _unreachable(state, peer, event.at):
        return  # The host sends but does not answer: its heartbeats alone do not make it live.
    if seen_state != peer.state or is_new_run:
        peer.state = seen_state
        has_changed = True
        yield from _report_peer(state, heartbeat.owner.host, event.at)
    if has_changed:
        yield from members.refresh(state, event.at)


def _adopt_incarnation(peer: members.Peer, incarnation: str) -> bool:
    """Record a new run of a host and retire the earlier one; returns whether the run is new."""
    if incarnation in (peer.incarnation, "") or incarnation in peer.ended_runs:
        return False
    if peer.incarnation:
        peer.ended_runs.add(peer.incarnation)
    peer.incarnation = incarnation
    peer.reports.clear()
    peer.failures = 0
    return True


@on_message(HostSeen)
def report_received(state: State, event: PeerMessage) -> typing.Iterator[Step]:
    """Record a watcher's report of another host; `members.watchers_agree` weighs all reports."""
    message = event.message
    peer = state["members"].peers.get(message.host.host)
    if peer is None or message.host.incarnation in peer.ended_runs:
        return
    _adopt_incarnation(peer, message.host.incarnation)
    peer.reports[event.sender.host] = message.state
    yield from members.refresh(state, event.at)


@handles(PeerFailed)
def not_reached(state: State, event: PeerFailed) -> typing.Iterator[Step]:
    """Count a failed call to a host of the zone."""
    peer = state["members"].peers.get(event.host)
    if peer is None:
        return
    if event.at - peer.failed_at >= state.cfg.timing.peer_dead:
        peer.failures = 0
    peer.failures += 1
    peer.failed_at = event.at
    yield Count(metric="peer_failed")
    if peer.failures >= MAX_FAILURES and peer.state == LIVE:
        peer.state = SILENT
        yield from _report_peer(state, event.host, event.at)
        yield from members.refresh(state, event.at)


@handles(StopAsked)
def announce_stop(state: State, event: StopAsked) -> typing.Iterator[Step]:
    """Notify the whole zone now, not at the next heartbeat, so that others take over all roles."""
    yield from _broadcast(state, _heartbeat(state, event.at))
