"""Structured logs: each event is one line of ``key=value`` pairs."""

import asyncio
import json
import logging
import re
import sys
import traceback
import typing

from loguru import logger

from ._log_sink import REPORT_INTERVAL, LogSink

TIME_FORMAT = "YYYY-MM-DDTHH:mm:ss.SSSZZ"

_PLAIN_WORD = re.compile(r"[^\s\"'=\\\x00-\x1f\x7f]+", re.ASCII)
_INVALID_KEY_CHARACTER = re.compile(r"[^A-Za-z0-9_]")
# Characters of a field's value; longer values are cut, so that lines stay readable.
_MAX_VALUE_LENGTH = 2_000
_MAX_TRACEBACK_LENGTH = 8_000  # Characters; a longer one keeps its end, which names the error.
_sink: LogSink | None = None  # Sink for standard output, of which the process has one.


def log_event(event: str, *, level: str = "INFO", **fields: object) -> None:
    """Write one log line.

    Args:
        event: Name of the event, in snake case.
        level: Name of the severity.
        **fields: Fields of the event.
    """
    logger.bind(event=event, fields=fields).log(level, "")


def log_exception(event: str, exc: BaseException, **fields: object) -> None:
    """Write one log line at level ERROR with an exception and its traceback."""
    trace = "".join(traceback.format_exception(exc))[-_MAX_TRACEBACK_LENGTH:]
    log_event(event, level="ERROR", **fields, error=repr(exc), traceback=trace)


def format_fields(fields: typing.Mapping[str, object]) -> str:
    """Join fields as ``key=value``; a value that is not one plain word becomes a JSON string."""
    return " ".join(
        f"{_INVALID_KEY_CHARACTER.sub('_', key)}={_value(value)}" for key, value in fields.items()
    )


def bounded_sink() -> LogSink | None:
    """Return a sink that writes to standard output, limits its rate, and never blocks.

    Returns:
        The sink; None if standard output was replaced within the process, as the descriptor would
        bypass the replacement.
    """
    global _sink
    if sys.stdout is not sys.__stdout__:
        return None
    _sink = LogSink(sys.stdout.fileno())
    return _sink


async def keep_flushing() -> None:
    """Flush waiting lines and log the number of dropped ones at intervals, until cancelled."""
    while _sink is not None:
        await asyncio.sleep(REPORT_INTERVAL)
        unreported = _sink.take_unreported_count()
        if unreported:
            log_event("log_lines_dropped", level="WARNING", lines=unreported, **_sink.dropped)
        _sink.flush()


def flush_lines() -> None:
    """Write the lines that wait, as far as their reader accepts them."""
    if _sink is not None:
        _sink.flush()


def dropped_lines() -> dict[str, float]:
    """Return the number of log lines dropped since the start, by kind of line."""
    return dict(_sink.dropped) if _sink is not None else {}


def configure(level: str = "INFO", sink: typing.Any = None) -> None:
    """Send all logs, including those of libraries, to one sink.

    Args:
        level: Lowest severity that is written.
        sink: Where lines go: a stream or function; standard output if None.
    """
    logger.remove()
    logger.add(sink or sys.stdout, format=_format, level=level.upper(), catch=True)
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)
    logging.captureWarnings(True)


class _LibraryHandler(logging.Handler):
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
    if len(text) > _MAX_VALUE_LENGTH and "\n" not in text:
        text = text[:_MAX_VALUE_LENGTH] + "..."
    return text if text.isascii() and _PLAIN_WORD.fullmatch(text) else json.dumps(text)


def _format(record: typing.Any) -> str:
    extra = record["extra"]
    head = {"level": record["level"].name, "event": extra.get("event", "message")}
    fields = extra.get("fields") or {"text": record["message"]}
    extra["line"] = f"{format_fields(head)} {format_fields(fields)}".rstrip()
    # The exception is left out of the template, since its traceback takes many lines.
    return "ts={time:" + TIME_FORMAT + "} {extra[line]}\n"
