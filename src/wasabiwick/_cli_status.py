"""``wasabiwick status`` and ``drain``: show running hosts, and shut one down gracefully."""

import collections
import ssl
import time

import click
import msgspec

from ._operator_http import Answer, error_text, fetch_all
from ._operator_options import hosts_option, tls_option
from ._status import ENTRY, Status
from ._text_table import text_table
from ._wire import HostEntry

REQUEST_TIMEOUT_S = 3.0
DRAIN_POLL_INTERVAL_S = 0.5
DEFAULT_DRAIN_WAIT_S = 150.0

_COLUMNS = ("host", "zone", "release", "config", "in flight", "state", "roles")


class HostStatus(msgspec.Struct):
    """One host of the host list; ``error`` is set if its status could not be read."""

    name: str
    zone: str
    address: str
    leaving: bool
    status: Status | None = None
    error: str = ""


class Overview(msgspec.Struct):
    """All hosts and endpoints, as printed by ``--json``."""

    hosts: list[HostStatus]
    endpoints: list[HostEntry]
    versions: list[int]


@click.command()
@hosts_option
@tls_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def status(hosts_url: str, tls: ssl.SSLContext | None, as_json: bool) -> None:
    """Show hosts, endpoints, configuration versions, roles and work in flight."""
    found = overview(hosts_url, tls)
    click.echo(msgspec.json.encode(found) if as_json else _as_text(found))


@click.command()
@click.argument("host")
@hosts_option
@tls_option
@click.option(
    "--wait",
    default=DEFAULT_DRAIN_WAIT_S,
    show_default=True,
    help="Seconds to wait until the work in flight has ended; 0 does not wait.",
)
def drain(host: str, hosts_url: str, tls: ssl.SSLContext | None, wait: float) -> None:
    """Shut a host down gracefully: it takes no new work, finishes its work in flight and exits."""
    address = _host_address(_entries(hosts_url), host)
    answer = fetch_all([f"{address}/drain"], timeout=REQUEST_TIMEOUT_S, method="POST", tls=tls)[0]
    if not isinstance(answer, str):
        raise click.ClickException(f'host "{host}" does not answer: {error_text(answer)}')
    click.echo(f"{host}: draining", err=True)
    if wait:
        _await_stop(host, address, tls, time.monotonic() + wait)


def overview(hosts_url: str, tls: ssl.SSLContext | None) -> Overview:
    """Ask every host on the host list for its status.

    Args:
        hosts_url: Base URL of the host list.
        tls: Client certificate and trusted CA certificates, if the hosts use TLS.

    Returns:
        The hosts with their statuses, and the endpoints.
    """
    entries = _entries(hosts_url)
    hosts = [entry for entry in entries if entry.kind == ENTRY]
    answers = fetch_all(
        [f"{entry.address}/status" for entry in hosts], timeout=REQUEST_TIMEOUT_S, tls=tls
    )
    found = [_host_status(entry, answer) for entry, answer in zip(hosts, answers, strict=True)]
    return Overview(
        hosts=found,
        endpoints=[entry for entry in entries if entry.kind != ENTRY],
        versions=sorted({host.status.version for host in found if host.status}),
    )


def _entries(hosts_url: str) -> list[HostEntry]:
    answer = fetch_all([f"{hosts_url.rstrip('/')}/hosts"], timeout=REQUEST_TIMEOUT_S)[0]
    if not isinstance(answer, str):
        raise click.ClickException(f"the host list does not answer: {error_text(answer)}")
    try:
        entries = msgspec.json.decode(answer, type=list[HostEntry])
    except msgspec.MsgspecError as exc:
        raise click.ClickException(f"the host list is not valid: {exc}") from None
    return sorted(entries, key=lambda entry: (entry.zone, entry.name))


def _host_address(entries: list[HostEntry], host: str) -> str:
    for entry in entries:
        if entry.kind == ENTRY and entry.name == host:
            return entry.address
    raise click.ClickException(f'host "{host}" is not on the host list')


def _host_status(entry: HostEntry, answer: Answer) -> HostStatus:
    found = HostStatus(
        name=entry.name, zone=entry.zone, address=entry.address, leaving=entry.leaving
    )
    try:
        if isinstance(answer, str):
            found.status = msgspec.json.decode(answer, type=Status)
        else:
            found.error = error_text(answer)
    except msgspec.MsgspecError as exc:
        found.error = f"status is not valid: {exc}"
    return found


def _await_stop(host: str, address: str, tls: ssl.SSLContext | None, deadline: float) -> None:
    before = -1
    while time.monotonic() < deadline:
        answer = fetch_all([f"{address}/status"], timeout=REQUEST_TIMEOUT_S, tls=tls)[0]
        if _is_refused(answer):
            click.echo(f"{host}: stopped", err=True)
            return
        if not isinstance(answer, str):
            # A time-out, a reset or an answer with an error does not show that the host has ended.
            click.echo(f"{host}: not known, {error_text(answer)}", err=True)
            time.sleep(DRAIN_POLL_INTERVAL_S)
            continue
        in_flight = msgspec.json.decode(answer, type=Status).in_flight
        if in_flight != before:
            click.echo(f"{host}: {in_flight} in flight", err=True)
        before = in_flight
        time.sleep(DRAIN_POLL_INTERVAL_S)
    raise click.ClickException(f'host "{host}" has not stopped yet')


def _is_refused(answer: Answer) -> bool:
    """Return whether nothing listens at the address any more."""
    cause = getattr(answer, "os_error", answer)
    return isinstance(cause, ConnectionRefusedError)


def _as_text(found: Overview) -> str:
    rows = [_COLUMNS, *(_cells(host) for host in found.hosts)]
    lines = text_table(rows, right=len(_COLUMNS))
    return "\n".join([*lines, "", *_endpoint_lines(found), *_remarks(found)])


def _cells(host: HostStatus) -> tuple[str, ...]:
    if host.status is None:
        return (host.name, host.zone, "-", "-", "-", "no answer", host.error)
    status = host.status
    state = "stopping" if status.stopping else "leaving" if host.leaving else "serving"
    return (
        host.name,
        host.zone,
        status.release,
        str(status.version),
        str(status.in_flight),
        state,
        _role_counts(status.roles),
    )


def _role_counts(roles: tuple[str, ...]) -> str:
    kinds = collections.Counter(role.partition("/")[0] for role in roles)
    return ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items())) or "-"


def _endpoint_lines(found: Overview) -> list[str]:
    counts: dict[str, int] = {}
    for entry in found.endpoints:
        counts[entry.service] = counts.get(entry.service, 0) + 1
    return [
        f"{service}: {count} endpoints listed, {_usable(found, service)}"
        for service, count in sorted(counts.items())
    ]


def _usable(found: Overview, service: str) -> str:
    usable_counts = {
        count.usable
        for host in found.hosts
        if host.status
        for count in host.status.endpoints
        if count.service == service
    }
    if not usable_counts:
        return "reported by no host"
    low, high = min(usable_counts), max(usable_counts)
    return f"{low} usable" if low == high else f"{low} to {high} usable, depending on the host"


def _remarks(found: Overview) -> list[str]:
    remarks = []
    if len(found.versions) > 1:
        shown = ", ".join(map(str, found.versions))
        remarks.append(f"hosts have different configuration versions: {shown}")
    silent = [host.name for host in found.hosts if host.status is None]
    if silent:
        remarks.append(f"no answer from {', '.join(silent)}")
    return remarks
