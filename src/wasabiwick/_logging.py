"""Structured logs: each event is one line of ``key=value`` pairs."""

import asyncio
import json
import logging
import re
import sys
import traceback
import typing

from loguru import logger

from ._log_sink import TELL_SECONDS, LogSink

TIME_FORMAT = "YYYY-MM-DDTHH:mm:ss.SSSZZ"

_BARE = re.compile(r"[^\s\"'=\\\x00-\x1f\x7f]+", re.ASCII)
_KEY = re.compile(r"[^A-Za-z0-9_]")
_MAX_VALUE = 2_000  # Characters; longer values are cut, so that lines stay readable.
_MAX_TRACEBACK = 8_000
_sink: LogSink | None = None  # The process has one standard output.


def log_event(event: str, *, level: str = "INFO", **fields: object) -> None:
    """Write one log line.

    Args:
        event: Name of the event, in snake case.
        level: Name of the severity.
        **fields: What is told of the event.
    """
    logger.bind(event=event, fields=fields).log(level, "")


def log_exception(event: str, exc: BaseException, **fields: object) -> None:
    """Write one log line at level ERROR with an exception and its traceback."""
    trace = "".join(traceback.format_exception(exc))[-_MAX_TRACEBACK:]
    log_event(event, level="ERROR", **fields, error=repr(exc), traceback=trace)


def format_fields(fields: typing.Mapping[str, object]) -> str:
    """Join fields as ``key=value``; a value that is not one plain word is a JSON string."""
    return " ".join(f"{_KEY.sub('_', key)}={_value(value)}" for key, value in fields.items())


def bounded_sink() -> LogSink | None:
    """Return a sink that writes to standard output within bounds, and never blocks.

    Returns:
        The sink; None where standard output has been replaced within the process, so that a
        descriptor would not lead there.
    """
    global _sink
    if sys.stdout is not sys.__stdout__:
        return None
    _sink = LogSink(sys.stdout.fileno())
    return _sink


async def keep_flushing() -> None:
    """Hand waiting lines on, and tell of dropped ones, for as long as the process lives."""
    while _sink is not None:
        await asyncio.sleep(TELL_SECONDS)
        untold = _sink.take_unreported_count()
        if untold:
            log_event("log_lines_dropped", level="WARNING", lines=untold, **_sink.dropped)
        _sink.flush()


def dropped_lines() -> dict[str, float]:
    """Return the log lines dropped since the start, by class."""
    return dict(_sink.dropped) if _sink is not None else {}


def configure(level: str = "INFO", sink: typing.Any = None) -> None:
    """Send all logs, those of libraries too, to one sink.

    Args:
        level: Least severity that is written.
        sink: Where lines go: a stream or function; standard output if None.
    """
    logger.remove()
    logger.add(sink or sys.stdout, format=_format, level=level.upper(), catch=True)
    logging.basicConfig(handlers=[_Forwarder()], level=logging.WARNING, force=True)
    logging.captureWarnings(True)


class _Forwarder(logging.Handler):
    """Turns the records of libraries that use `logging` into log lines."""

    def emit(self, record: logging.LogRecord) -> None:
        fields: dict[str, object] = {"logger": record.name, "text": record.getMessage()}
        if record.exc_info and record.exc_info[1]:
            log_exception("library", record.exc_info[1], **fields)
        else:
            known = record.levelname in logging.getLevelNamesMapping()
            log_event("library", level=record.levelname if known else "WARNING", **fields)


def _value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if len(text) > _MAX_VALUE and "\n" not in text:
        text = text[:_MAX_VALUE] + "..."
    return text if text.isascii() and _BARE.fullmatch(text) else json.dumps(text)


def _format(record: typing.Any) -> str:
    extra = record["extra"]
    head = {"level": record["level"].name, "event": extra.get("event", "message")}
    fields = extra.get("fields") or {"text": record["message"]}
    extra["line"] = f"{format_fields(head)} {format_fields(fields)}".rstrip()
    # The exception is left out of the template, since its traceback takes many lines.
    return "ts={time:" + TIME_FORMAT + "} {extra[line]}\n"
