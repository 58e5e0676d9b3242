"""Mixed calls of a demo: generations, roster reads and sign-ups, whose callers may leave."""

import asyncio
import random
import time

import aiohttp
import msgspec

from .._load import Ask, Caller, Reply
from .._load._caller import OutputTimer, new_key, read_error
from .._load._run import make_prompt
from ._site import MODEL, SERVICE

CALLERS = 40
# An impatient caller waits this long before it calls again or abandons a sign-up.
OVERLAP_DELAY_S = 0.15
SERVICE_TIMEOUT_S = 10.0


class Results:
    """Results of the calls.

    Attributes:
        calls: Calls by kind.
        answered: Answered calls by kind.
        twice: Calls that got two complete answers.
        foreign: Calls that got the answer to another request.
        cut: Answers that a draining host did not complete.
        signups: Keys of answered sign-ups.
        notes: Descriptions of failures, for the reader of the table.
    """

    __slots__ = ("calls", "answered", "twice", "foreign", "cut", "signups", "notes")

    def __init__(self) -> None:
        self.calls = {"generation": 0, "roster read": 0, "sign-up": 0}
        self.answered = dict.fromkeys(self.calls, 0)
        self.twice = 0
        self.foreign = 0
        self.cut = 0
        self.signups: list[str] = []
        self.notes: list[str] = []


class Traffic:
    """Sends the calls of a demo.

    Args:
        caller: Calls the hosts; its addresses are those that the load balancer offers.
        rng: Source of random choices.
        total: Number of calls to send.
    """

    __slots__ = (
        "results",
        "started",
        "draining",
        "_caller",
        "_rng",
        "_total",
        "_progress",
        "names",
    )

    def __init__(self, *, caller: Caller, rng: random.Random, total: int) -> None:
        self.results = Results()
        self.names: dict[str, str] = {}
        self.started = 0
        self._progress = asyncio.Event()
        self.draining = ""
        self._caller = caller
        self._rng = rng
        self._total = total

    async def run(self) -> None:
        """Send all calls, `CALLERS` at a time."""
        await asyncio.gather(*(self._send_calls() for _ in range(CALLERS)))

    async def wait_until_started(self, started: int) -> None:
        """Wait until a number of calls have been started."""
        while self.started < started:
            self._progress.clear()
            await self._progress.wait()

    async def _send_calls(self) -> None:
        while self.started < self._total:
            self.started += 1
            self._progress.set()
            kinds = [("generation", self._generation)] * 3
            kinds += [("roster read", self._read_roster), ("sign-up", self._sign_up)]
            kind, call = kinds[self.started % len(kinds)]
            self.results.calls[kind] += 1
            if await call():
                self.results.answered[kind] += 1

    # --- Generations -----------------------------------------------------------------------------

    async def _generation(self) -> bool:
        ask = Ask(
            content=make_prompt(self._rng, self._rng.choice((40, 200, 800))),
            max_tokens=self._rng.choice((20, 60, 150)),
            model=MODEL,
            stream=self._rng.random() < 0.7,
            key=new_key(self._rng) if self._rng.random() < 0.8 else "",
        )
        chance = self._rng.random()
        if ask.key and chance < 0.15:
            return await self._call_twice(ask)
        leave = ask.max_tokens // 2 if ask.stream and chance < 0.3 else 0
        return await self._until_answered(ask, leave)

    async def _until_answered(self, ask: Ask, leave_after: int = 0) -> bool:
        caller = self._caller
        timer = OutputTimer(caller.tally)
        while time.monotonic() < caller.deadline:
            reply = await caller.attempt(ask, timer, leave_after=leave_after)
            leave_after = 0
            if reply.whole:
                self._check(ask, reply)
                return True
            self._note_failure(reply)
            await caller.wait(reply)
        self.results.notes.append(f"lost: generation {ask.key}: {reply.reason()}")
        return False

    async def _call_twice(self, ask: Ask) -> bool:
        """Make two calls that overlap; only one of them may be answered completely."""
        timer = OutputTimer(self._caller.tally)
        first = asyncio.create_task(self._caller.attempt(ask, timer))
        await asyncio.wait([first], timeout=OVERLAP_DELAY_S)
        if first.done():
            return await self._finish(ask, await first)
        second = asyncio.create_task(self._caller.attempt(ask, timer))
        replies = await asyncio.gather(first, second)
        whole = [one for one in replies if one.whole]
        if len(whole) > 1:
            self.results.twice += 1
            hosts = ", ".join(self.names.get(one.address, "") for one in whole)
            self.results.notes.append(f"twice: {ask.key} of {ask.max_tokens} tokens by {hosts}")
        return await self._finish(ask, whole[0] if whole else replies[1])

    async def _finish(self, ask: Ask, reply: Reply) -> bool:
        if reply.whole:
            self._check(ask, reply)
            return True
        self._note_failure(reply)
        await self._caller.wait(reply)
        return await self._until_answered(ask)

    def _check(self, ask: Ask, reply: Reply) -> None:
        self.results.foreign += reply.text != ask.expected()

    def _note_failure(self, reply: Reply) -> None:
        # A refused connection never carried an answer that could be cut.
        broken = reply.broken and reply.broken != "ClientConnectorError"
        if reply.broken == "SocketTimeoutError":
            name = self.names.get(reply.address, "")
            self.results.notes.append(f"silent: {name} after {len(reply.text)} characters")
        if broken and reply.address == self.draining:
            self.results.cut += 1
            self.results.notes.append(f"cut: {reply.broken} after {len(reply.text)} characters")

    # --- Services --------------------------------------------------------------------------------

    async def _read_roster(self) -> bool:
        path = f"roster/{self._rng.getrandbits(32)}"
        answer = await self._call_service("GET", path, key="", body=b"")
        if answer is None:
            return False
        self.results.foreign += answer.get("path") != f"/{path}"
        return True

    async def _sign_up(self) -> bool:
        key = new_key(self._rng)
        body = f"member {key}"
        first_timeout = OVERLAP_DELAY_S if self._rng.random() < 0.2 else 0.0
        answer = await self._call_service(
            "POST", "signups", key=key, body=body.encode(), first_timeout=first_timeout
        )
        if answer is None:
            return False
        self.results.signups.append(key)
        # An answer that the router got by querying the service has the key but no echo.
        matches = str(answer.get("key")).endswith(key) and answer.get("echo", body) == body
        self.results.foreign += not matches
        return True

    async def _call_service(
        self, method: str, path: str, *, key: str, body: bytes, first_timeout: float = 0.0
    ) -> dict | None:
        """Call the service until it answers; return None if the deadline passes first.

        ``first_timeout`` is the time in seconds after which the caller leaves its first attempt;
        if it is 0, the usual time-out applies.
        """
        caller = self._caller
        reply = Reply("")
        while time.monotonic() < caller.deadline:
            caller.tally.attempts += 1
            reply = Reply(caller.rng.choice(caller.addresses))
            url = f"{reply.address}/v1/services/{SERVICE}/{path}"
            try:
                async with (
                    asyncio.timeout(first_timeout or SERVICE_TIMEOUT_S),
                    caller.session.request(
                        method, url, data=body, headers=caller.headers(key)
                    ) as resp,
                ):
                    if resp.ok:
                        return msgspec.json.decode(await resp.read())
                    reply.refusal = await read_error(resp)
            except TimeoutError:
                reply.dropped = True
                caller.tally.dropped += 1
            except (aiohttp.ClientError, OSError) as exc:
                reply.broken = type(exc).__name__
            first_timeout = 0.0
            self._note_failure(reply)
            await caller.wait(reply)
        self.results.notes.append(f"lost: {method} {path} {key}: {reply.reason()}")
        return None
