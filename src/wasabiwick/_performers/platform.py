"""Performs effects on the platform's log service and host list."""

import asyncio

import msgspec

from .._effects import AppendLog, FetchHostList, ReadLog, StopTail, TailLog
from .._errors import Failure
from .._events import (
    HostListFailed,
    HostsListed,
    LogAppended,
    LogAppendFailed,
    LogRead,
    LogReadFailed,
)
from .._runner import Runner, performs
from .._wire import LogRecord

TAIL_RETRY_S = 0.25  # Delay between reads while the log service does not answer.


@performs(AppendLog)
def append(runner: Runner, effect: AppendLog) -> None:
    """Append records; several appends may be in flight at once."""
    runner.spawn(f"append/{effect.stream}/{effect.tag}", _append(runner, effect))


async def _append(runner: Runner, effect: AppendLog) -> None:
    records = tuple(msgspec.json.encode(one).decode() for one in effect.records)
    answer = await runner.ports.log.append(effect.stream, records)
    now = runner.now()
    if isinstance(answer, Failure):
        runner.post(LogAppendFailed(at=now, stream=effect.stream, tag=effect.tag, failure=answer))
    else:
        runner.post(LogAppended(at=now, stream=effect.stream, tag=effect.tag, offset=answer))


@performs(TailLog)
def tail(runner: Runner, effect: TailLog) -> None:
    """Start a task that follows a log stream."""
    runner.spawn(f"tail/{effect.stream}", _tail(runner, effect.stream, effect.offset))


async def _tail(runner: Runner, stream: str, offset: int) -> None:
    position = offset
    wait = 0.0  # The first read does not wait, so that the stream's end is known at once.
    while True:
        page = await runner.ports.log.read(stream, position, wait)
        if isinstance(page, Failure):
            runner.post(LogReadFailed(at=runner.now(), stream=stream, tag=""))
            await asyncio.sleep(TAIL_RETRY_S)
            continue
        wait = runner.cfg.timing.log_poll
        position = _next_offset(position, page.first, page.records)
        runner.post(
            LogRead(
                at=runner.now(),
                stream=stream,
                tag="",
                records=page.records,
                next=position,
                first=page.first,
                end=page.end,
            )
        )


def _next_offset(position: int, first: int, records: tuple[LogRecord, ...]) -> int:
    return records[-1].offset + 1 if records else max(position, first)


@performs(StopTail)
def stop_tail(runner: Runner, effect: StopTail) -> None:
    """Stop following a log stream."""
    runner.stop_task(f"tail/{effect.stream}")


@performs(ReadLog)
def read(runner: Runner, effect: ReadLog) -> None:
    """Read a log stream up to its current end."""
    runner.spawn(f"read/{effect.stream}/{effect.tag}", _read(runner, effect))


async def _read(runner: Runner, effect: ReadLog) -> None:
    position = effect.offset
    records: list[LogRecord] = []
    while True:
        page = await runner.ports.log.read(effect.stream, position, 0)
        if isinstance(page, Failure):
            runner.post(LogReadFailed(at=runner.now(), stream=effect.stream, tag=effect.tag))
            return
        records.extend(page.records)
        position = _next_offset(position, page.first, page.records)
        if position >= page.end or not page.records:
            break
    runner.post(
        LogRead(
            at=runner.now(),
            stream=effect.stream,
            tag=effect.tag,
            records=tuple(records),
            next=position,
            first=page.first,
            end=page.end,
        )
    )


@performs(FetchHostList)
def fetch_hosts(runner: Runner, effect: FetchHostList) -> None:
    """Read the host list."""
    runner.spawn("hosts", _fetch_hosts(runner))


async def _fetch_hosts(runner: Runner) -> None:
    answer = await runner.ports.host_list.entries()
    if isinstance(answer, Failure):
        runner.post(HostListFailed(at=runner.now()))
    else:
        runner.post(HostsListed(at=runner.now(), entries=answer))
