"""Reads the platform's settings file into this product's settings."""

import pathlib
import tomllib

import msgspec

from .._logging import log_event
from .._settings import Forwarding, Limits, Listen, Platform, Settings, Timing

# Time between the end of the longest graceful shutdown and the platform's kill.
STOP_MARGIN_S = 0.5
# Shortest graceful shutdown: the platform stops sending callers to a host after two failed
# readiness checks a second apart. A stream may be cut off at the end only if it was sent in the
# first 3 s after the signal.
STOP_NOTICE_S = 2.8
# Share of the time before the platform's kill from which running streams may be cut off.
LAST_PART_FROM = 5 / 6
# Shares of the time within which an entry of the list has to apply: the pause between two reads,
# and the silence of other hosts after which a host reads itself.
LIST_PAUSE_SHARE = 0.35
SILENCE_SHARE = 0.4
# Shares of a process's memory for bodies. A body takes up to twice its size while it is sent, and
# a host without any takes a third of the memory.
REQUESTS_SHARE = 0.13
ANSWERS_SHARE = 0.065
# Share of a process's memory for answers that their callers have not read. It is less than for
# answers held as a whole, so that unread ones don't keep others from their room. They may take
# twice as much before answers are cut off that are still read.
UNREAD_SHARE = 0.04
BYTES_PER_MB = 1_000_000
METRICS_PORT = 9464  # Port that serves metrics, the same as in deploy/system.toml.


class _Listen(msgspec.Struct):
    frontend: str  # Address for callers.
    readiness: str


class _Bounds(msgspec.Struct, rename="kebab"):
    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    budget_slack: float = 50.0
    drain_ms: float = 2_000.0
    config_apply_ms: float = 2_000.0
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_slack: float = 0.0


class _Limits(msgspec.Struct, rename="kebab"):
    memory_mb: float = 0.0  # Zero if it is not limited.


class _Store(msgspec.Struct):
    address: str


class _File(msgspec.Struct, rename="kebab"):
    node_name: str
    ip: str
    zone: str
    region: str
    internal_ports: tuple[int, int]
    listen: _Listen
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


class SettingsError(ValueError):
    """The settings file can't be used; the message is one line."""


def load(path: str) -> Settings:
    """Read the platform's settings file.

    Args:
        path: The TOML file.

    Raises:
        SettingsError: If the file can't be read, or a field is missing or invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        file = msgspec.convert(tomllib.loads(text), _File)
    except OSError as exc:
        raise SettingsError(f"{path}: cannot be read: {exc.strerror}") from exc
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    return _settings(file)


def file_stamp(path: str) -> tuple[int, int]:
    """Return a file's modification time (ns) and size (bytes), or zeros if it can't be read."""
    try:
        found = pathlib.Path(path).stat()
    except OSError as exc:
        log_event("settings_missing", level="WARNING", path=path, error=str(exc))
        return 0, 0
    return found.st_mtime_ns, found.st_size


def metrics_address(cfg: Settings) -> str:
    """Return the ``host:port`` that serves metrics; the host is that of the datagrams' address."""
    host, _, _ = cfg.forwarding.datagrams.rpartition(":")
    return f"{host}:{METRICS_PORT}"


def _limits(limits: _Limits) -> Limits:
    memory = limits.memory_mb * BYTES_PER_MB
    if memory <= 0:
        return Limits()
    return Limits(
        request_bodies_bytes=max(1, int(REQUESTS_SHARE * memory)),
        answer_bodies_bytes=max(1, int(ANSWERS_SHARE * memory)),
        unread_answers_bytes=max(1, int(UNREAD_SHARE * memory)),
    )


def _settings(file: _File) -> Settings:
    store = f"http://{file.platform.address}"
    grace = file.bounds.grace_s
    drain = max(1.0, grace - STOP_MARGIN_S)
    return Settings(
        host=file.node_name,
        zone=file.zone,
        region=file.region,
        platform=Platform(log=store, hosts=store),
        listen=Listen(callers=file.listen.frontend),
        limits=_limits(file.limits),
        timing=Timing(
            drain=drain,
            stop_notice=min(STOP_NOTICE_S, grace / 2),
            signal_delay=max(0.0, drain - LAST_PART_FROM * grace),
        ),
        forwarding=Forwarding(
            ready=file.listen.readiness,
            datagrams=f"{file.ip}:{file.internal_ports[0]}",
            hops=f"{file.ip}:{file.internal_ports[0]}",
            retry_ratio=file.bounds.retry_budget_ratio,
            retry_slack=file.bounds.budget_slack,
            retry_window=file.bounds.retry_window_s,
            list_pause=LIST_PAUSE_SHARE * file.bounds.drain_ms / 1000,
            read_silence=SILENCE_SHARE
            * min(file.bounds.drain_ms, file.bounds.config_apply_ms)
            / 1000,
            limit_window=file.bounds.quota_window_s,
            limit_overshoot=file.bounds.quota_overshoot,
            limit_slack=file.bounds.quota_slack,
        ),
    )
