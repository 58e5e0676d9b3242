"""Reading and checking of settings files; all faults of a file are reported at once."""

import inspect
import pathlib
import ssl
import typing

from . import _tls
from ._schema import Fault, FieldFault, cross_rule, params_of, read_yaml
from ._settings import Listen, Once, Settings, Timing, Tls


def load_settings(path: str | pathlib.Path) -> Settings | list[Fault]:
    """Read and check a settings file.

    Args:
        path: The YAML file.

    Returns:
        The settings, or every fault of the file.
    """
    text = read_text(path)
    return [text] if isinstance(text, Fault) else read_yaml(text, Settings)


def read_text(path: str | pathlib.Path) -> str | Fault:
    """Return a file's text, or a fault if it can't be read."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        return Fault(path="", line=1, text=f"cannot be read: {exc.strerror}")
    except UnicodeDecodeError as exc:
        return Fault(path="", line=1, text=f"is not UTF-8 at byte {exc.start}")


@cross_rule(Timing)
def _check_timing(timing: Timing) -> typing.Iterator[FieldFault]:
    for smaller, larger in (
        ("heartbeat", "peer_suspect"),
        ("peer_suspect", "peer_dead"),
        ("renew", "reservation"),
    ):
        if getattr(timing, smaller) >= getattr(timing, larger):
            yield larger, f"must be longer than timing.{smaller}"


@cross_rule(Listen)
def _check_listen(listen: Listen) -> typing.Iterator[FieldFault]:
    if listen.peers == listen.callers and not listen.peers.endswith(":0"):
        yield "peers", "must differ from listen.callers"


@cross_rule(Once)
def _check_once_section(once: Once) -> typing.Iterator[FieldFault]:
    # A record must outlive its key: a call with a key that is still accepted but has no record
    # would run again.
    if once.keep <= once.horizon:
        yield "keep", "must be longer than once.horizon"


@cross_rule(Tls)
def _check_tls(tls: Tls) -> typing.Iterator[FieldFault]:
    try:
        _tls.server_context(tls)
    except OSError as exc:
        yield "certificate", f"can't be used with the key: {exc}"
    try:
        ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT).load_verify_locations(cafile=tls.authority)
    except OSError as exc:
        yield "authority", f"holds no certificates: {exc}"


def settings_to_builtins(cfg: object) -> dict[str, typing.Any]:
    """Turn settings into the mapping that a settings file would hold."""
    fields = {}
    for name in params_of(type(cfg)):
        value = getattr(cfg, name)
        plain = value is None or isinstance(value, str | int | float | bool | dict)
        fields[name] = value if plain else settings_to_builtins(value)
    return fields


def settings_from_builtins(fields: dict[str, typing.Any], cls: type = Settings) -> typing.Any:
    """Rebuild settings from a mapping that `settings_to_builtins` made.

    Nothing is checked, since the files that settings name may no longer exist. Keys that this
    version does not know are left out.
    """
    params = params_of(cls)
    built = {}
    for name, value in fields.items():
        if name not in params:
            continue
        nested = isinstance(value, dict) and inspect.isclass(params[name].kind)
        built[name] = settings_from_builtins(value, params[name].kind) if nested else value
    return cls(**built)
