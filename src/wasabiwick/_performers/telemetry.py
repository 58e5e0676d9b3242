"""Performs effects that write log lines and metrics."""

from .._effects import Count, LogLine, Observe, ReportFault
from .._logging import log_event
from .._runner import Runner, performs


@performs(Count)
def count(runner: Runner, effect: Count) -> None:
    """Add to a counter."""
    runner.telemetry.count(effect.metric, effect.label, effect.amount)


@performs(Observe)
def observe(runner: Runner, effect: Observe) -> None:
    """Add a value to a latency metric."""
    runner.telemetry.observe(effect.metric, effect.label, effect.value)


@performs(LogLine)
def log_line(runner: Runner, effect: LogLine) -> None:
    """Write one line of key=value pairs."""
    log_event(effect.event, **effect.fields)


@performs(ReportFault)
def report_fault(runner: Runner, effect: ReportFault) -> None:
    """Log and count an exception of a handler."""
    runner.telemetry.count("faults", effect.cause, 1)
    log_event(
        "fault",
        level="ERROR",
        handler=effect.handler,
        cause=effect.cause,
        request=effect.request or "-",
        error=effect.error,
        traceback=effect.trace,
    )
