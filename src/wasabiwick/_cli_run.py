"""``wasabiwick run``: the entry host daemon."""

import asyncio
import contextlib
import os
import sys
import typing

import click

from . import _signals
from ._exit_codes import EXIT_FAILED, EXIT_INVALID_INPUT
from ._logging import bounded_sink, configure, flush_lines, log_event, log_exception


@click.command()
@click.option("--settings", "path", type=click.Path(exists=True, dir_okay=False))
@click.option("--platform", is_flag=True, help="Read settings in the platform's own format.")
@click.option("--log-level", default="INFO", show_default=True)
def run(path: str | None, platform: bool, log_level: str) -> None:
    """Run an entry host until SIGTERM, then shut down gracefully."""
    _signals.hold()
    configure(log_level, bounded_sink())
    if platform:
        _run_on_platform(path)
    elif path is None:
        raise click.UsageError("Missing option '--settings'.")
    else:
        _run_with_own_settings(path)


def _run_with_own_settings(path: str) -> None:
    import uvloop

    from ._daemon import serve
    from ._settings_file import load_settings

    cfg = load_settings(path)
    if isinstance(cfg, list):
        for fault in cfg:
            click.echo(fault.located(path), err=True)
        sys.exit(EXIT_INVALID_INPUT)
    _run_or_exit(lambda: uvloop.run(serve(cfg)))


def _run_on_platform(path: str | None) -> None:
    # Imported here because the two kinds of deployment need different libraries.
    from . import platform

    path = path or os.environ.get(platform.SETTINGS_VARIABLE, "")
    if not path:
        click.echo(f"{platform.SETTINGS_VARIABLE} is not set", err=True)
        sys.exit(EXIT_INVALID_INPUT)
    try:
        cfg = platform.load(path)
    except platform.SettingsError as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_INVALID_INPUT)
    _run_or_exit(lambda: asyncio.run(platform.run(path, cfg)))


def _run_or_exit(serve_until_stopped: typing.Callable[[], None]) -> None:
    try:
        serve_until_stopped()
    except OSError as exc:
        # An address is in use or a file can't be opened; no request has been served.
        log_event("start_failed", level="ERROR", error=str(exc))
        sys.exit(EXIT_FAILED)
    except Exception as exc:  # noqa: BLE001 - logged with its traceback
        log_exception("crashed", exc)
        sys.exit(EXIT_FAILED)
    _end_process()


def _end_process() -> typing.NoReturn:
    """End the process without taking the interpreter apart.

    That takes several tenths of a second on a small host, and a platform kills a process that is
    still there at the end of its graceful shutdown.
    """
    flush_lines()
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError, ValueError):  # Its reader is gone, or it is closed.
            stream.flush()
    os._exit(0)
