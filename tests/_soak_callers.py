"""Callers' connections of a soak, and the requests that they send there."""

import asyncio
import contextlib
import random
import re
import typing

from . import _soak_answers as answers
from ._soak_hosts import Host
from ._soak_http import BrokenError, Wire, chunk, message
from ._soak_kinds import HOST_NAME, Kind
from ._soak_record import CLOSED, COMPLETE, GIVEN_UP, LEFT, RESET, Attempt, Life, Record, now

CONNECT_TIMEOUT_S = 1.0
STREAM_PATIENCE_S = 4.0  # Four times the latency target of streams without an event.
LARGEST_BODY = 90_000
UPLOAD_PARTS = 25
CHUNKED_SHARE = 0.1
UPLOAD_SHARE = 0.04
LEAVE_SHARE = 0.06
_KEEP_ALIVE = re.compile(r"timeout=(\d+)")


class Plan(typing.NamedTuple):
    """How a request is sent.

    Attributes:
        kind: The kind of request.
        answer: The plan of its answer.
        hint: Output tokens that the caller expects of a stream.
        upload_s: Time over which its body is sent; 0 for at once.
        leave_s: Time from its last byte after which the caller leaves; 0 for never.
        is_chunked: Whether its body comes in chunks.
        key: The key that it names; empty for none, None for not chosen yet.
        claims: Name of an organisation that the caller claims to be.
    """

    kind: Kind
    answer: answers.StreamPlan | int
    hint: int = 0
    upload_s: float = 0.0
    leave_s: float = 0.0
    is_chunked: bool = False
    key: str | None = None
    claims: str = ""


def make_plan(rng: random.Random, kind: Kind) -> Plan:
    """Return a plan for a request of a kind."""
    if kind.is_stream:
        answer, hint = answers.stream_plan(rng)
    else:
        answer, hint = answers.work_ms(rng), 0
    upload_s = leave_s = 0.0
    if kind.type != "safe" and rng.random() < UPLOAD_SHARE:
        upload_s = rng.uniform(0.5, 5.0) if kind.is_stream else rng.uniform(0.1, 0.6)
    if rng.random() < LEAVE_SHARE:
        leave_s = rng.uniform(0.05, 3.0) if kind.is_stream else rng.uniform(0.01, 0.4)
    return Plan(kind, answer, hint, upload_s, leave_s, rng.random() < CHUNKED_SHARE)


class Connection:
    """A connection of a caller to a host's process.

    Attributes:
        life: The process.
        uses: Number of requests that were sent on it.
        idle_since: Time of the last answer.
    """

    def __init__(
        self, life: Life, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.life = life
        self.uses = 0
        self.idle_since = now()
        self._reader, self._writer = reader, writer
        self._wire = Wire(reader, self._note_read)
        self._keep_alive = float("inf")
        self._attempt: Attempt | None = None

    @classmethod
    async def open(cls, host: Host) -> "Connection | None":
        """Connect to a host; returns None if that fails within the callers' time."""
        life = host.life
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*host.callers)
        except (OSError, TimeoutError):
            return None
        return cls(life, reader, writer)

    @property
    def is_open(self) -> bool:
        """Whether a request may be sent on it."""
        if self._reader.at_eof() or self._writer.is_closing() or self._reader.exception():
            return False
        return now() - self.idle_since < self._keep_alive

    def close(self) -> None:
        """Close it."""
        self._writer.transport.abort()

    def _note_read(self, size: int) -> None:
        if self._attempt is not None:
            self._attempt.arrivals.append((now(), size))

    async def send(self, record: Record, name: str, plan: Plan, rng: random.Random) -> Attempt:
        """Send a request, and return it once its answer or the connection has ended."""
        kind = plan.kind
        stream = plan.answer if kind.is_stream else None
        attempt = self._attempt = Attempt(
            name=name,
            kind=kind.name,
            life=self.life,
            pieces=stream.events if stream else 0,
            patience=kind.timeout_ms / 1000,
            deadline=kind.deadline_ms / 1000,
        )
        attempt.is_kept = self.uses > 0
        attempt.key = plan.key or ""
        self.uses += 1
        attempt.first_sent = now()
        sending = asyncio.create_task(self._write(attempt, plan, rng))
        leaving = asyncio.create_task(self._leave(attempt, plan)) if plan.leave_s else None
        try:
            attempt.how = await self._read(attempt, plan.upload_s)
        finally:
            attempt.ended = now()
            self.idle_since = attempt.ended
            self._attempt = None
            for task in (sending, leaving):
                if task is not None:
                    task.cancel()
            await asyncio.gather(sending, return_exceptions=True)
        self._settle(attempt)
        record.add_attempt(attempt)
        return attempt

    def _settle(self, attempt: Attempt) -> None:
        found = _KEEP_ALIVE.search(attempt.headers.get("keep-alive", ""))
        if found:
            self._keep_alive = float(found[1])
        closes = attempt.headers.get("connection", "").lower() == "close"
        if attempt.how != COMPLETE or closes or attempt.sent is None:
            self.close()

    async def _write(self, attempt: Attempt, plan: Plan, rng: random.Random) -> None:
        kind = plan.kind
        method = "GET" if kind.type == "safe" else "POST"
        headers = {
            "Host": HOST_NAME,
            "X-Wasabiwick-Attempt-Id": attempt.name,
            "X-Wasabiwick-Deadline-Ms": str(kind.deadline_ms),
        }
        if kind.is_stream:
            headers |= {
                "X-Wasabiwick-Model": "m",
                "X-Wasabiwick-Token-Count": f"1460,{answers.MAX_TOKENS}",
                "X-Wasabiwick-Prefix-Hash": f"5c1e07a2:800,{attempt.name}:660",
                "X-Wasabiwick-Length-Hint": str(plan.hint),
            }
        if plan.key:
            headers["Authorization"] = f"Token {plan.key}"
        if plan.claims:
            headers["X-Wasabiwick-Tenant"] = plan.claims
        body = b""
        if method == "POST":
            size = LARGEST_BODY if plan.upload_s and kind.is_stream else rng.randint(100, 3_000)
            body = attempt.name.encode() * (size // len(attempt.name))
            if plan.is_chunked:
                headers["Transfer-Encoding"] = "chunked"
            else:
                headers["Content-Length"] = str(len(body))
        target = answers.path(kind.name, plan.answer, attempt.name)
        head = message(f"{method} {target} HTTP/1.1", headers)
        if not plan.upload_s:
            data = chunk(body) + b"0\r\n\r\n" if plan.is_chunked and body else body
            self._writer.write(head + data)
        else:
            attempt.sends = f"over {plan.upload_s:.2f} s"
            self._writer.write(head)
            step = len(body) // UPLOAD_PARTS + 1
            for at in range(0, len(body), step):
                await asyncio.sleep(plan.upload_s / UPLOAD_PARTS)
                part = body[at : at + step]
                self._writer.write(chunk(part) if plan.is_chunked else part)
            if plan.is_chunked:
                self._writer.write(b"0\r\n\r\n")
        attempt.sent = now()
        with contextlib.suppress(ConnectionError):
            await self._writer.drain()

    async def _leave(self, attempt: Attempt, plan: Plan) -> None:
        await asyncio.sleep(plan.upload_s + plan.leave_s)
        attempt.how = LEFT
        self.close()

    async def _read(self, attempt: Attempt, upload_s: float) -> str:
        """Read the answer to a request that is sent over some time; returns how it ended."""
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + attempt.deadline
            ) as limit:
                await self._read_answer(attempt, limit, upload_s)
            return COMPLETE
        except TimeoutError:
            return GIVEN_UP
        except EOFError:
            return attempt.how or CLOSED
        except ConnectionError:
            return attempt.how or RESET
        except (BrokenError, ValueError, IndexError) as exc:
            attempt.headers["!broken"] = repr(exc)
            return attempt.how or CLOSED

    async def _read_answer(self, attempt: Attempt, limit: asyncio.Timeout, upload_s: float) -> None:
        loop = asyncio.get_running_loop()
        ends = limit.when()

        def take(data: bytes) -> None:
            attempt.body += data
            if attempt.pieces:
                limit.reschedule(min(ends, loop.time() + STREAM_PATIENCE_S))

        if attempt.pieces:
            limit.reschedule(min(ends, loop.time() + upload_s + STREAM_PATIENCE_S))
        while True:
            first, attempt.headers = await self._wire.head()
            attempt.status = int(first.split(" ")[1])
            if attempt.status >= 200:
                break
        await self._wire.body(attempt.headers, take, to_end=True)
        if self._wire.rest:
            attempt.headers["!extra"] = repr(self._wire.rest[:80])
