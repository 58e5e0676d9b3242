"""Load run: concurrent callers, until a number of calls or a duration is reached."""

import asyncio
import random
import time
import urllib.parse

import click

from ._caller import Ask, Caller, new_key, open_session
from ._direct import DirectCaller
from ._measure import Tally, Totals

LOOPBACK = ("127.0.0.1", "localhost", "::1")
WORDS = ("plan", "quote", "group", "guide", "passage", "roster", "note", "print", "sign", "week")


class Plan:
    """Parameters of a load run.

    Args:
        addresses: Base URLs of entry hosts.
        engines: Base URLs of engines to call directly, alternating with the router.
        key: API key.
        model: Name of the model.
        callers: Number of concurrent callers.
        calls: Number of calls.
        seconds: Longest duration of the run.
        prompt_tokens: Length of each prompt in tokens.
        max_tokens: Length of each answer in tokens.
        stream: Whether answers are streamed.
        keyed: Whether calls carry an Idempotency-Key.
        leave: Share of calls whose caller disconnects once in mid-answer and retries.
        seed: Seed of prompts and random choices.
    """

    __slots__ = (
        "addresses",
        "engines",
        "key",
        "model",
        "callers",
        "calls",
        "seconds",
        "prompt_tokens",
        "max_tokens",
        "stream",
        "keyed",
        "leave",
        "seed",
    )

    def __init__(
        self,
        *,
        addresses: tuple[str, ...],
        engines: tuple[str, ...] = (),
        key: str = "",
        model: str = "lectio-lm",
        callers: int = 10,
        calls: int = 100,
        seconds: float = 60.0,
        prompt_tokens: int = 100,
        max_tokens: int = 50,
        stream: bool = True,
        keyed: bool = False,
        leave: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.addresses = addresses
        self.engines = engines
        self.key = key
        self.model = model
        self.callers = callers
        self.calls = calls
        self.seconds = seconds
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.stream = stream
        self.keyed = keyed
        self.leave = leave
        self.seed = seed


def check_loopback(url: str) -> str:
    """Return a loopback URL without its trailing slash.

    Raises:
        click.BadParameter: If the URL is not of a loopback address.
    """
    if urllib.parse.urlsplit(url).hostname not in LOOPBACK:
        raise click.BadParameter(f"{url!r} is not a loopback address")
    return url.rstrip("/")


def make_prompt(rng: random.Random, tokens: int) -> str:
    """Return a prompt that is unique to one call."""
    words = [f"call-{rng.getrandbits(48):012x}"]
    words += [rng.choice(WORDS) for _ in range(tokens - 1)]
    return " ".join(words)


async def run(plan: Plan) -> tuple[Totals, Totals]:
    """Run a plan.

    Args:
        plan: Parameters of the run.

    Returns:
        Results of the calls through the router, and of the direct calls.
    """
    rng = random.Random(plan.seed)
    routed, direct = Tally(), Tally()
    started_at = time.monotonic()
    async with open_session() as session:
        caller = Caller(
            session=session,
            addresses=list(plan.addresses),
            key=plan.key,
            tally=routed,
            rng=rng,
            deadline=started_at + plan.seconds,
        )
        engines = DirectCaller(session=session, engines=plan.engines, tally=direct)
        remaining = iter(range(plan.calls))

        async def send_calls() -> None:
            for _ in remaining:
                if time.monotonic() >= caller.deadline:
                    return
                await _one_call(plan, rng, caller, engines)

        await asyncio.gather(*(send_calls() for _ in range(plan.callers)))
    seconds = time.monotonic() - started_at
    return routed.totals(seconds), direct.totals(seconds)


async def _one_call(plan: Plan, rng: random.Random, caller: Caller, engines: DirectCaller) -> None:
    if plan.engines:
        await engines.generate(_make_ask(plan, rng))
    if plan.addresses:
        leave = plan.max_tokens // 2 if rng.random() < plan.leave else 0
        await caller.generate(_make_ask(plan, rng), leave_after=leave)


def _make_ask(plan: Plan, rng: random.Random) -> Ask:
    return Ask(
        content=make_prompt(rng, plan.prompt_tokens),
        max_tokens=plan.max_tokens,
        model=plan.model,
        stream=plan.stream,
        key=new_key(rng) if plan.keyed else "",
    )
