"""Commands ``publish``, ``show`` and ``publisher-key``, for publishing plans and allowances."""

import asyncio
import getpass
import pathlib
import time
import typing

import aiohttp
import click
import msgspec
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from . import _configuration, _lists_file, _publish
from ._adapters import HttpHostList, HttpLogService
from ._configuration import Content, History
from ._errors import Failure
from ._exit_codes import EXIT_INVALID_INPUT
from ._publish import HostVersion, HostWatcher, Publication, Result, Signer
from ._settings import Settings, Timing, Tls
from ._settings_file import load_settings
from ._tls import client_context

EXIT_LOST = 3
EXIT_BEHIND = 4
EXIT_UNKNOWN = 5
EXIT_NOT_PUBLISHED = 6

_EXITS = {
    _publish.LOST: EXIT_LOST,
    _publish.UNKNOWN: EXIT_UNKNOWN,
    _publish.NOT_PUBLISHED: EXIT_NOT_PUBLISHED,
}

File = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


class Target:
    """Addresses of the log and the host list, the publishers' keys, and the hosts' certificates."""

    __slots__ = ("log", "hosts", "publishers", "tls")

    def __init__(
        self, *, log: str, hosts: str, publishers: dict[str, str], tls: Tls | None = None
    ) -> None:
        self.log = log
        self.hosts = hosts
        self.publishers = publishers
        self.tls = tls

    def session(self) -> aiohttp.ClientSession:
        """Open a client session, with client certificates if the hosts use TLS."""
        context = client_context(self.tls) if self.tls else True
        return aiohttp.ClientSession(connector=aiohttp.TCPConnector(ssl=context))


def _target(log: str, hosts: str, settings: pathlib.Path | None) -> Target:
    cfg = load_settings(settings) if settings else None
    if isinstance(cfg, list):
        raise click.BadParameter("\n".join(str(fault) for fault in cfg), param_hint="--settings")
    if isinstance(cfg, Settings):
        log, hosts = log or cfg.platform.log, hosts or cfg.platform.hosts
    if not log:
        raise click.UsageError("--log or --settings is required")
    if cfg is None:
        return Target(log=log, hosts=hosts, publishers={})
    return Target(log=log, hosts=hosts, publishers=cfg.publishers, tls=cfg.tls)


def _target_options(command: typing.Callable) -> typing.Callable:
    for option in (
        click.option(
            "--settings",
            type=File,
            help="Settings file of a host, read for URLs, publishers' keys and TLS.",
        ),
        click.option("--hosts", default="", help="Base URL of the host list."),
        click.option("--log", default="", help="Base URL of the log service."),
    ):
        command = option(command)
    return command


@click.command()
@_target_options
@click.option(
    "--plans",
    "plans_path",
    required=True,
    type=File,
    help="YAML file with the plan of each customer.",
)
@click.option(
    "--allowances",
    "allowances_path",
    required=True,
    type=File,
    help="YAML file that says what plans may use and describes services and models.",
)
@click.option("--key", type=File, help="Ed25519 private key in PEM format that signs the record.")
@click.option("--key-id", default="", help="Id of the key in the hosts' settings.")
@click.option("--author", default=getpass.getuser, help="Name of the operator.")
@click.option(
    "--replaces",
    type=int,
    help="Version the lists were edited from; publishing fails if another is in force.",
)
@click.option(
    "--wait",
    default=30.0,
    show_default=True,
    help="Seconds to wait until all hosts have the version in force.",
)
@click.option(
    "--timeout",
    default=30.0,
    show_default=True,
    help="Seconds after which appending to the log is given up.",
)
@click.option(
    "--dry-run",
    is_flag=True,
    help="Only check the lists and show the difference from the version in force.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the result as JSON.")
def publish(
    log: str,
    hosts: str,
    settings: pathlib.Path | None,
    plans_path: pathlib.Path,
    allowances_path: pathlib.Path,
    key: pathlib.Path | None,
    key_id: str,
    author: str,
    replaces: int | None,
    wait: float,
    timeout: float,
    dry_run: bool,
    as_json: bool,
) -> None:
    """Publish a new version of both lists, and wait until every live host has it in force.

    The exit code is 0 once all hosts have it in force, 2 if the lists have faults, 3 if another
    version took effect instead, 4 if some hosts do not have it in force yet, 5 if the log did not
    confirm whether the record was appended, 6 if nothing was appended.
    """
    content = _read_content(plans_path, allowances_path)
    signer = _signer(key, key_id)
    target = _target(log, hosts, settings)
    options = _Options(
        author=author, replaces=replaces, wait=wait, timeout=timeout, dry_run=dry_run, quiet=as_json
    )
    result = asyncio.run(_publish_to(target, content, signer, options))
    if as_json:
        click.echo(msgspec.json.encode(result))
    else:
        _print_result(result)
    raise SystemExit(_EXITS.get(result.outcome, EXIT_BEHIND if result.behind else 0))


class _Options:
    """Options of the ``publish`` command."""

    __slots__ = ("author", "replaces", "wait", "timeout", "dry_run", "quiet")

    def __init__(
        self,
        *,
        author: str,
        replaces: int | None,
        wait: float,
        timeout: float,
        dry_run: bool,
        quiet: bool,
    ) -> None:
        self.author = author
        self.replaces = replaces
        self.wait = wait
        self.timeout = timeout
        self.dry_run = dry_run
        self.quiet = quiet

    def print_progress(self, text: str) -> None:
        """Print a line of progress unless ``quiet`` is set."""
        if not self.quiet:
            click.echo(text)


def _read_content(plans_path: pathlib.Path, allowances_path: pathlib.Path) -> Content:
    plans, allowances = plans_path.read_text("utf-8"), allowances_path.read_text("utf-8")
    faults = _lists_file.check_lists(plans, allowances)
    for fault in faults:
        click.echo(str(fault), err=True)
    if faults:
        raise SystemExit(EXIT_INVALID_INPUT)
    return _configuration.content_of(_lists_file.read_lists(plans, allowances))


def _signer(path: pathlib.Path | None, key_id: str) -> Signer | None:
    if path is None:
        return None
    if not key_id:
        raise click.UsageError("--key requires --key-id")
    try:
        key = serialization.load_pem_private_key(path.read_bytes(), password=None)
    except (ValueError, TypeError) as exc:
        raise click.BadParameter(
            f"{path} is not a private key: {exc}", param_hint="--key"
        ) from None
    if not isinstance(key, ed25519.Ed25519PrivateKey):
        raise click.BadParameter(f"{path} is not an Ed25519 key", param_hint="--key")
    return Signer(key_id=key_id, key=key)


async def _publish_to(
    target: Target, content: Content, signer: Signer | None, options: _Options
) -> Result:
    async with target.session() as session:
        log = HttpLogService(session=session, address=target.log, timing=Timing())
        history = await _read_history(log, target.publishers)
        options.print_progress(_format_difference(history, content))
        watcher = _host_watcher(session, target)
        await _check_log_is_current(watcher, history)
        publication = Publication(
            log=log,
            history=history,
            content=content,
            author=options.author,
            signer=signer,
            replaces=options.replaces,
            timeout=options.timeout,
        )
        if options.dry_run:
            return publication.result(_publish.NOT_PUBLISHED)
        result = await publication.run()
        if result.outcome in (_publish.IN_FORCE, _publish.UNCHANGED) and watcher:
            await _wait_for_hosts(watcher, publication, result, options)
        return result


async def _read_history(log: HttpLogService, publishers: dict[str, str]) -> History:
    try:
        return await _publish.read_history(log, publishers)
    except _publish.LogUnavailableError as exc:
        raise click.ClickException(f"the log service does not answer: {exc}") from None


def _host_watcher(session: aiohttp.ClientSession, target: Target) -> HostWatcher | None:
    if not target.hosts:
        return None
    hosts = HttpHostList(session=session, address=target.hosts, timing=Timing())
    return HostWatcher(session=session, hosts=hosts)


async def _check_log_is_current(watcher: HostWatcher | None, history: History) -> None:
    """Refuse to publish if hosts have a later version in force than the log.

    The log has then lost records. The hosts append a copy of the lost records by themselves.
    """
    found = await watcher.versions() if watcher else []
    if isinstance(found, Failure):
        return
    newest_version = max((one.version for one in found), default=0)
    if newest_version > history.version:
        raise click.ClickException(
            f"hosts have version {newest_version} in force, but the log only has version "
            f"{history.version}; publish again once a host has appended a copy of the lost records"
        )


async def _wait_for_hosts(
    watcher: HostWatcher, publication: Publication, result: Result, options: _Options
) -> None:
    options.print_progress(f"version {result.version} is accepted; waiting for the hosts")
    on_change = _progress_printer(options)
    result.hosts, result.behind = await watcher.wait(result.version, options.wait, on_change)
    if publication.accepted_at and not result.behind:
        result.seconds = round(time.time() - publication.accepted_at, 3)


def _progress_printer(options: _Options) -> typing.Callable[[list[HostVersion]], None]:
    def print_behind(behind: list[HostVersion]) -> None:
        if behind:
            options.print_progress(f"not yet in force on: {_format_hosts(behind)}")

    return print_behind


def _format_hosts(behind: list[HostVersion]) -> str:
    return ", ".join(
        f"{one.host} ({'no answer' if one.version < 0 else one.version})" for one in behind
    )


def _format_difference(history: History, content: Content) -> str:
    changes, removed = _configuration.difference(history.content, content)
    lines = [f"version in force: {history.version}"]
    for section, named in changes.items():
        before = history.content.entries[section]
        for name, fields in named.items():
            sign, old = ("~", before[name]) if name in before else ("+", {})
            changed = {key: value for key, value in fields.items() if old.get(key) != value}
            lines.append(f"{sign} {section}/{name}: {msgspec.json.encode(changed).decode()}")
    lines.extend(f"- {path}" for path in removed)
    return "\n".join(lines if len(lines) > 1 else [*lines, "no changes"])


def _print_result(result: Result) -> None:
    texts = {
        _publish.IN_FORCE: f"version {result.version} is in force on {result.hosts} hosts",
        _publish.UNCHANGED: f"version {result.version} already has these lists",
        _publish.LOST: (
            f"version {result.version} was not accepted: {result.winner} replaced version "
            f"{result.replaces} first; no host uses these lists"
        ),
        _publish.UNKNOWN: (
            f"the log did not confirm whether version {result.version} was appended; it may still "
            "take effect: check with `wasabiwick show`"
        ),
        _publish.NOT_PUBLISHED: "nothing was published",
    }
    click.echo(texts[result.outcome])
    if result.behind:
        click.echo(f"not yet in force on: {_format_hosts(result.behind)}")
    elif result.seconds:
        click.echo(f"all hosts had it {result.seconds:.2f} s after it was accepted")


@click.command()
@_target_options
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Directory to which both lists are written as YAML.",
)
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def show(
    log: str, hosts: str, settings: pathlib.Path | None, out: pathlib.Path | None, as_json: bool
) -> None:
    """Show the version in force in the log and on each host; --out writes both lists as YAML."""
    target = _target(log, hosts, settings)
    history, found = asyncio.run(_read_versions(target))
    if out:
        _write_lists(history.content, out)
    last = _configuration.decode(history.chain[-1]) if history.chain else None
    shown = Shown(
        version=history.version,
        offset=history.offset,
        author=last.author if last else "",
        digest=history.content.digest,
        complete=history.complete,
        hosts=found,
    )
    if as_json:
        click.echo(msgspec.json.encode(shown))
        return
    click.echo(f"version {shown.version} by {shown.author or '-'} at offset {shown.offset}")
    for one in found:
        state = "no answer" if one.version < 0 else f"version {one.version}"
        click.echo(f"{one.zone} {one.host}: {state}")


class Shown(msgspec.Struct, kw_only=True):
    """What ``wasabiwick show --json`` prints."""

    version: int
    offset: int
    author: str
    digest: str
    complete: bool
    hosts: list[HostVersion]


async def _read_versions(target: Target) -> tuple[History, list[HostVersion]]:
    async with target.session() as session:
        log = HttpLogService(session=session, address=target.log, timing=Timing())
        history = await _read_history(log, target.publishers)
        watcher = _host_watcher(session, target)
        found = await watcher.versions() if watcher else []
        return history, [] if isinstance(found, Failure) else found


def _write_lists(content: Content, out: pathlib.Path) -> None:
    out.mkdir(parents=True, exist_ok=True)
    plans, allowances = _lists_file.to_yaml(content.entries)
    (out / "plans.yaml").write_text(plans, "utf-8")
    (out / "allowances.yaml").write_text(allowances, "utf-8")


@click.command("publisher-key")
@click.option(
    "--out", required=True, type=click.Path(path_type=pathlib.Path), help="PEM file to create."
)
def publisher_key(out: pathlib.Path) -> None:
    """Create a publisher's key; print the public key for ``publishers`` in the settings."""
    key = ed25519.Ed25519PrivateKey.generate()
    pem = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    out.touch(mode=0o600, exist_ok=False)
    out.write_bytes(pem)
    public = key.public_key()
    raw = public.public_bytes(serialization.Encoding.Raw, serialization.PublicFormat.Raw)
    click.echo(raw.hex())
