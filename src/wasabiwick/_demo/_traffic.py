"""Mixed calls of a demo: generations, roster reads and sign-ups, with callers that leave."""

import asyncio
import random
import time

import aiohttp
import msgspec

from .._load import Ask, Caller, Reply
from .._load._caller import OutputTimer, new_key, refusal_of
from .._load._run import prompt_of
from ._site import MODEL, SERVICE

CALLERS = 40
OVERLAP_AFTER = 0.15  # Seconds after which an impatient caller asks a second host as well.
SERVICE_TIMEOUT = 10.0  # Seconds.


class Results:
    """What callers saw.

    Attributes:
        calls: Calls by kind.
        answered: Answered calls by kind.
        twice: Calls that got two whole answers.
        foreign: Calls whose answer was not the one to their own request.
        cut: Answers that a draining host broke off.
        signups: Keys of answered sign-ups.
        notes: What went wrong, for a person.
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
        caller: Asks the hosts; its addresses are those that the balancer offers.
        rng: Source of choices.
        total: Calls in all.
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
        """Send all calls, some at a time."""
        await asyncio.gather(*(self._work() for _ in range(CALLERS)))

    async def reached(self, started: int) -> None:
        """Wait until so many calls were started."""
        while self.started < started:
            self._progress.clear()
            await self._progress.wait()

    async def _work(self) -> None:
        while self.started < self._total:
            self.started += 1
            self._progress.set()
            kinds = [("generation", self._generation)] * 3
            kinds += [("roster read", self._read), ("sign-up", self._sign_up)]
            kind, work = kinds[self.started % len(kinds)]
            self.results.calls[kind] += 1
            if await work():
                self.results.answered[kind] += 1

    # --- Generations -----------------------------------------------------------------------------

    async def _generation(self) -> bool:
        ask = Ask(
            content=prompt_of(self._rng, self._rng.choice((40, 200, 800))),
            max_tokens=self._rng.choice((20, 60, 150)),
            model=MODEL,
            stream=self._rng.random() < 0.7,
            key=new_key(self._rng) if self._rng.random() < 0.8 else "",
        )
        chance = self._rng.random()
        if ask.key and chance < 0.15:
            return await self._overlapping(ask)
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
            self._note(reply)
            await caller.wait(reply)
        self.results.notes.append(f"lost: generation {ask.key}: {reply.reason()}")
        return False

    async def _overlapping(self, ask: Ask) -> bool:
        """Ask a second host while the first still answers; only one may answer whole."""
        timer = OutputTimer(self._caller.tally)
        first = asyncio.create_task(self._caller.attempt(ask, timer))
        await asyncio.wait([first], timeout=OVERLAP_AFTER)
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
        self._note(reply)
        await self._caller.wait(reply)
        return await self._until_answered(ask)

    def _check(self, ask: Ask, reply: Reply) -> None:
        self.results.foreign += reply.text != ask.expected()

    def _note(self, reply: Reply) -> None:
        # A refused connection was never in flight.
        broken = reply.broken and reply.broken != "ClientConnectorError"
        if reply.broken == "SocketTimeoutError":
            name = self.names.get(reply.address, "")
            self.results.notes.append(f"silent: {name} after {len(reply.text)} letters")
        if broken and reply.address == self.draining:
            self.results.cut += 1
            self.results.notes.append(f"cut: {reply.broken} after {len(reply.text)} letters")

    # --- Services --------------------------------------------------------------------------------

    async def _read(self) -> bool:
        path = f"roster/{self._rng.getrandbits(32)}"
        answer = await self._service("GET", path, key="", body=b"")
        if answer is None:
            return False
        self.results.foreign += answer.get("path") != f"/{path}"
        return True

    async def _sign_up(self) -> bool:
        key = new_key(self._rng)
        body = f"member {key}"
        impatient = OVERLAP_AFTER if self._rng.random() < 0.2 else 0.0
        answer = await self._service(
            "POST", "signups", key=key, body=body.encode(), impatient=impatient
        )
        if answer is None:
            return False
        self.results.signups.append(key)
        # An answer that the service was asked for by key names the key only.
        right = str(answer.get("key")).endswith(key) and answer.get("echo", body) == body
        self.results.foreign += not right
        return True

    async def _service(
        self, method: str, path: str, *, key: str, body: bytes, impatient: float = 0.0
    ) -> dict | None:
        """Call until answered; an impatient caller leaves its first attempt early."""
        caller = self._caller
        reply = Reply("")
        while time.monotonic() < caller.deadline:
            caller.tally.attempts += 1
            reply = Reply(caller.rng.choice(caller.addresses))
            url = f"{reply.address}/v1/services/{SERVICE}/{path}"
            try:
                async with (
                    asyncio.timeout(impatient or SERVICE_TIMEOUT),
                    caller.session.request(
                        method, url, data=body, headers=caller.headers(key)
                    ) as resp,
                ):
                    if resp.ok:
                        return msgspec.json.decode(await resp.read())
                    reply.refusal = await refusal_of(resp)
            except TimeoutError:
                reply.dropped = True
                caller.tally.dropped += 1
            except (aiohttp.ClientError, OSError) as exc:
                reply.broken = type(exc).__name__
            impatient = 0.0
            self._note(reply)
            await caller.wait(reply)
        self.results.notes.append(f"lost: {method} {path} {key}: {reply.reason()}")
        return None
