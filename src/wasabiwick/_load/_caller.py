"""A caller of a router: asks until it has an answer, on any of the hosts it knows."""

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

DATA = b"data: "
END = b"[DONE]"
RETRY_WAIT = 0.05  # Seconds, where an answer names no time.
CONNECT_TIMEOUT = 2.0  # Seconds.
SILENCE = 30.0  # Seconds without a byte after which a caller gives a connection up.
UUID_VERSION = 7
UUID_VARIANT = 0b10


class Ask:
    """One generation request of a caller.

    Args:
        content: What the user says.
        max_tokens: Length of the answer.
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
        """Return the only right answer."""
        return expected_output(self.body().text(), self.max_tokens)


class Reply:
    """What became of one attempt.

    ``whole`` is true for a complete answer. ``refusal`` holds the router's error, if it sent one.
    ``broken`` names a connection's failure, and ``dropped`` is true where the caller left.
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
        """Return why there is no answer, as one word."""
        if self.refusal:
            return self.refusal.code
        return "dropped" if self.dropped else self.broken or "cut"


def new_key(rng: random.Random) -> str:
    """Return a UUIDv7, which carries its time of birth."""
    millis = time.time_ns() // 1_000_000
    value = millis << 80 | UUID_VERSION << 76 | rng.getrandbits(12) << 64
    return str(uuid.UUID(int=value | UUID_VARIANT << 62 | rng.getrandbits(62)))


class Caller:
    """One caller, or many that share its connections.

    Args:
        session: Client session.
        addresses: Base URLs of the hosts to ask; each attempt goes to any of them.
        key: API key.
        tally: Where counts and latencies go.
        rng: Source of choices.
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
        """Ask until answered; None if the time was up first.

        Args:
            ask: The request.
            leave_after: Output tokens after which the first attempt is dropped, or 0.

        Returns:
            The whole answer.
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
        """Wait as long as the answer says before asking again."""
        wait = reply.refusal.retry_after if reply.refusal else None
        if not reply.dropped:
            self.tally.refusals[reply.reason()] += 1
            await asyncio.sleep((wait or RETRY_WAIT) * self.rng.uniform(1.0, 1.2))

    async def attempt(
        self, ask: Ask, timer: "OutputTimer", *, leave_after: int = 0, avoid: str = ""
    ) -> Reply:
        """Ask one host once.

        Args:
            ask: The request.
            timer: Measures the output.
            leave_after: Output tokens after which the caller closes the connection, or 0.
            avoid: Address of a host not to ask, or empty.

        Returns:
            What became of it.
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
                    reply.refusal = await refusal_of(resp)
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
        timer.whole(reply.text)

    async def _read_stream(
        self, resp: aiohttp.ClientResponse, reply: Reply, timer: "OutputTimer", leave_after: int
    ) -> None:
        rest = b""
        texts = []
        count = 0
        while chunk := await resp.content.readany():
            *events, rest = (rest + chunk).split(b"\n\n")
            came = "".join(_text_of(event, reply) for event in events)
            if came:
                texts.append(came)
                count += timer.output(came)
            if leave_after and count >= leave_after:
                reply.dropped = True
                self.tally.dropped += 1
                resp.close()
                break
        reply.text = "".join(texts)


def _text_of(event: bytes, reply: Reply) -> str:
    """Return the text of one server-sent event, and note the stream's end or error."""
    start = event.find(DATA)
    if start < 0:
        return ""
    data = event[start + len(DATA) :]
    if event.startswith(b"event: error"):
        reply.refusal = msgspec.json.decode(data, type=ErrorAnswer).error
        return ""
    if data == END:
        reply.whole = True
        return ""
    choice = msgspec.json.decode(data, type=Completion).choices[0]
    return choice.delta.content if choice.delta else choice.text or ""


async def refusal_of(resp: aiohttp.ClientResponse) -> ErrorBody:
    """Return the error that an answer carries."""
    raw = await resp.read()
    try:
        return msgspec.json.decode(raw, type=ErrorAnswer).error
    except msgspec.MsgspecError:
        return ErrorBody(code=f"status_{resp.status}", message="", verdict="")


class OutputTimer:
    """Measures one request's output from its first ask on, over all attempts.

    Output that an earlier attempt had brought already is not measured again.
    """

    __slots__ = ("_tally", "_last", "_seen", "_began")

    def __init__(self, tally: Tally) -> None:
        self._tally = tally
        self._began = time.monotonic()
        self._last = 0.0
        self._seen = False

    def output(self, text: str) -> int:
        """Note output that just came, and return its count of tokens."""
        now = time.monotonic()
        count = len(text) // (TOKEN_CHARS + 1)
        self._tally.tokens += count
        if not self._seen:
            self._seen = True
            self._tally.first.add(now - self._began)
        elif count:
            self._tally.between.add((now - self._last) / count, count)
        self._last = now
        return count

    def whole(self, text: str) -> None:
        """Note an answer that came as a whole; its outputs have no times of their own."""
        self._tally.tokens += len(text) // (TOKEN_CHARS + 1)


def client_timeout() -> aiohttp.ClientTimeout:
    """Return the timeouts of callers: none in all, since they wait for their answer."""
    return aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT, sock_read=SILENCE)


def session_of(connections: int = 0) -> aiohttp.ClientSession:
    """Open a client session for callers; ``connections`` 0 stands for no limit."""
    connector = aiohttp.TCPConnector(limit=connections)
    return aiohttp.ClientSession(connector=connector, timeout=client_timeout())
