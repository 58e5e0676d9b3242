"""Caller of a router: sends a request to one of its hosts, and retries until it has an answer."""

import asyncio
import random
import time
import uuid

import aiohttp
import msgspec

from .._answers import Completion, ErrorAnswer, ErrorBody
from .._asks import ChatAsk, Turn
from .._standins._output import TOKEN_CHARS, expected_output
from ._measure import Tally

DATA_PREFIX = b"data: "
END_OF_STREAM = b"[DONE]"
RETRY_WAIT_S = 0.05  # Wait before a retry if the error has no ``retry_after``.
CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 30.0  # Time without a byte after which a caller drops a connection.
UUID_VERSION = 7
UUID_VARIANT = 0b10


class Ask:
    """One generation request of a caller.

    Args:
        content: Text of the user's message.
        max_tokens: Length of the answer in tokens.
        model: Name of the model.
        stream: Whether the answer is to be streamed.
        key: Idempotency key, or empty.
    """

    __slots__ = ("content", "max_tokens", "model", "stream", "key")

    def __init__(
        self, *, content: str, max_tokens: int, model: str, stream: bool = True, key: str = ""
    ) -> None:
        self.content = content
        self.max_tokens = max_tokens
        self.model = model
        self.stream = stream
        self.key = key

    def body(self) -> ChatAsk:
        """Return the body to send."""
        turn = Turn(role="user", content=self.content)
        return ChatAsk(
            model=self.model, messages=[turn], max_tokens=self.max_tokens, stream=self.stream
        )

    def expected(self) -> str:
        """Return the one correct answer."""
        return expected_output(self.body().text(), self.max_tokens)


class Reply:
    """Result of one attempt.

    ``whole`` is true for a complete answer. ``refusal`` is the router's error, if it sent one.
    ``broken`` names the exception of a failed connection; ``dropped`` is true if the caller left.
    """

    __slots__ = ("address", "text", "whole", "refusal", "broken", "dropped")

    def __init__(self, address: str) -> None:
        self.address = address
        self.text = ""
        self.whole = False
        self.refusal: ErrorBody | None = None
        self.broken = ""
        self.dropped = False

    def reason(self) -> str:
        """Return as one word why there is no complete answer."""
        if self.refusal:
            return self.refusal.code
        return "dropped" if self.dropped else self.broken or "cut"


def new_key(rng: random.Random) -> str:
    """Return a UUIDv7, which contains its creation time."""
    unix_ms = time.time_ns() // 1_000_000
    value = unix_ms << 80 | UUID_VERSION << 76 | rng.getrandbits(12) << 64
    return str(uuid.UUID(int=value | UUID_VARIANT << 62 | rng.getrandbits(62)))


class Caller:
    """One caller, or several that share connections and counts.

    Args:
        session: Client session.
        addresses: Base URLs of the hosts; each attempt goes to a random one.
        key: API key.
        tally: Collects counts and latencies.
        rng: Source of random choices.
        deadline: Time on the monotonic clock, in seconds, after which the caller gives up.
    """

    __slots__ = ("session", "addresses", "key", "tally", "rng", "deadline")

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        addresses: list[str],
        key: str,
        tally: Tally,
        rng: random.Random,
        deadline: float,
    ) -> None:
        self.session = session
        self.addresses = addresses
        self.key = key
        self.tally = tally
        self.rng = rng
        self.deadline = deadline

    async def generate(self, ask: Ask, *, leave_after: int = 0) -> Reply | None:
        """Call until a complete answer arrives.

        Args:
            ask: The request.
            leave_after: Output tokens after which the caller leaves its first attempt, or 0.

        Returns:
            The complete answer, or None if the deadline passed first.
        """
        self.tally.calls += 1
        timer = OutputTimer(self.tally)
        while time.monotonic() < self.deadline:
            reply = await self.attempt(ask, timer, leave_after=leave_after)
            leave_after = 0
            if reply.whole:
                self.tally.answered += 1
                self.tally.wrong += reply.text != ask.expected()
                return reply
            await self.wait(reply)
        return None

    async def wait(self, reply: Reply) -> None:
        """Wait before the next attempt, as long as the error says; not if the caller left."""
        wait = reply.refusal.retry_after if reply.refusal else None
        if not reply.dropped:
            self.tally.refusals[reply.reason()] += 1
            await asyncio.sleep((wait or RETRY_WAIT_S) * self.rng.uniform(1.0, 1.2))

    async def attempt(
        self, ask: Ask, timer: "OutputTimer", *, leave_after: int = 0, avoid: str = ""
    ) -> Reply:
        """Call one host once.

        Args:
            ask: The request.
            timer: Measures the latency of the output.
            leave_after: Output tokens after which the caller closes the connection, or 0.
            avoid: Address of a host not to call, or empty.

        Returns:
            The result.
        """
        others = [one for one in self.addresses if one != avoid]
        reply = Reply(self.rng.choice(others or self.addresses))
        self.tally.attempts += 1
        try:
            async with self.session.post(
                f"{reply.address}/v1/chat/completions",
                data=msgspec.json.encode(ask.body()),
                headers=self.headers(ask.key),
            ) as resp:
                if not resp.ok:
                    reply.refusal = await read_error(resp)
                elif ask.stream:
                    await self._read_stream(resp, reply, timer, leave_after)
                else:
                    await self._read_whole(resp, reply, timer)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            reply.broken = type(exc).__name__
        return reply

    def headers(self, key: str) -> dict[str, str]:
        """Return the headers of a call."""
        headers = {"Authorization": f"Bearer {self.key}", "Content-Type": "application/json"}
        return {**headers, "Idempotency-Key": key} if key else headers

    async def _read_whole(
        self, resp: aiohttp.ClientResponse, reply: Reply, timer: "OutputTimer"
    ) -> None:
        answer = msgspec.json.decode(await resp.read(), type=Completion)
        reply.text = answer.choices[0].message.content
        reply.whole = True
        timer.record_whole(reply.text)

    async def _read_stream(
        self, resp: aiohttp.ClientResponse, reply: Reply, timer: "OutputTimer", leave_after: int
    ) -> None:
        rest = b""
        texts = []
        count = 0
        while chunk := await resp.content.readany():
            *events, rest = (rest + chunk).split(b"\n\n")
            text = "".join(_event_text(event, reply) for event in events)
            if text:
                texts.append(text)
                count += timer.record_output(text)
            if leave_after and count >= leave_after:
                reply.dropped = True
                self.tally.dropped += 1
                resp.close()
                break
        reply.text = "".join(texts)


def _event_text(event: bytes, reply: Reply) -> str:
    """Return the text of a server-sent event; record in ``reply`` the end or an error."""
    start = event.find(DATA_PREFIX)
    if start < 0:
        return ""
    data = event[start + len(DATA_PREFIX) :]
    if event.startswith(b"event: error"):
        reply.refusal = msgspec.json.decode(data, type=ErrorAnswer).error
        return ""
    if data == END_OF_STREAM:
        reply.whole = True
        return ""
    choice = msgspec.json.decode(data, type=Completion).choices[0]
    return choice.delta.content if choice.delta else choice.text or ""


async def read_error(resp: aiohttp.ClientResponse) -> ErrorBody:
    """Return the error in a response's body."""
    raw = await resp.read()
    try:
        return msgspec.json.decode(raw, type=ErrorAnswer).error
    except msgspec.MsgspecError:
        return ErrorBody(code=f"status_{resp.status}", message="", verdict="")


class OutputTimer:
    """Measures the output latency of one request over all its attempts, from the first one on.

    The time to the first output is recorded once only, also if a later attempt starts over.
    """

    __slots__ = ("_tally", "_last_output_at", "_has_output", "_started_at")

    def __init__(self, tally: Tally) -> None:
        self._tally = tally
        self._started_at = time.monotonic()
        self._last_output_at = 0.0
        self._has_output = False

    def record_output(self, text: str) -> int:
        """Record output that has just arrived, and return its number of tokens."""
        now = time.monotonic()
        count = len(text) // (TOKEN_CHARS + 1)
        self._tally.tokens += count
        if not self._has_output:
            self._has_output = True
            self._tally.first.add(now - self._started_at)
        elif count:
            self._tally.between.add((now - self._last_output_at) / count, count)
        self._last_output_at = now
        return count

    def record_whole(self, text: str) -> None:
        """Record an answer that was not streamed; its tokens have no times of their own."""
        self._tally.tokens += len(text) // (TOKEN_CHARS + 1)


def client_timeout() -> aiohttp.ClientTimeout:
    """Return the callers' time-outs; none limits the whole call, since answers may take long."""
    return aiohttp.ClientTimeout(
        total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=READ_TIMEOUT_S
    )


def open_session(connections: int = 0) -> aiohttp.ClientSession:
    """Open a client session for callers; ``connections`` is its limit, or 0 for none."""
    connector = aiohttp.TCPConnector(limit=connections)
    return aiohttp.ClientSession(connector=connector, timeout=client_timeout())
