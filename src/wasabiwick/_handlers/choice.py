"""Choice of the prefill and the decode engine for the request that gets the next slot.

A scorer predicts one part of the time to first output, or the delay of other requests, in seconds.
The option with the lowest sum wins. Only a few options are scored: each decode candidate together
with the best prefill engine of the pool, and each decode candidate in both roles.
"""

import random
import typing

from .._pieces import PIECE_TOKENS, PREFIX_LENGTHS
from .._wire import Reserve
from .engine_ledger import EngineLedger
from .ledger import FIRST_OUTPUTS, MAX_PREFILL_AHEAD_S, MAX_TRANSFERS_PER_LINK, Pool

MAX_CANDIDATES = 12  # Engines considered for a role; larger pools are sampled.
# Factor by which costs count prefill time, because a repeated prefill delays other requests too.
REPEATED_PREFILL_WEIGHT = 3.0
STALL_COST = 1.5  # Seconds of cost for each second that one running request is delayed.


class Placement:
    """A pair of engines, with the predictions for it.

    Args:
        prefill: Engine that prefills.
        decode: Engine that decodes; may be the same.
        cached: Tokens of the prompt that the prefill engine is expected to have cached.
        tokens: Length of the prompt, in tokens.

    Attributes:
        uncached: Tokens of the prompt to prefill.
        seconds: Sum of the scores, in seconds.
        ready: Predicted time to first output, in seconds.
    """

    __slots__ = ("prefill", "decode", "cached", "uncached", "seconds", "ready")

    def __init__(
        self, *, prefill: EngineLedger, decode: EngineLedger, cached: int, tokens: int
    ) -> None:
        self.prefill = prefill
        self.decode = decode
        self.cached = cached
        self.uncached = max(1, tokens - cached)
        self.seconds = 0.0
        self.ready = 0.0


Scorer = typing.Callable[[Pool, Reserve, Placement, float], float]

SCORERS: dict[str, Scorer] = {}


def scorer(name: str) -> typing.Callable[[Scorer], Scorer]:
    """Register a scorer under a name."""

    def register(function: Scorer) -> Scorer:
        SCORERS[name] = function
        return function

    return register


@scorer("prefill_queue")
def prefill_queue(pool: Pool, asked: Reserve, option: Placement, at: float) -> float:
    """Return the seconds until the engine finishes the prefill work granted before."""
    return option.prefill.prefill_wait(at)


@scorer("prefill_work")
def prefill_work(pool: Pool, asked: Reserve, option: Placement, at: float) -> float:
    """Return the seconds to prefill the tokens that the engine has not cached."""
    return option.prefill.prefill_rate.seconds(option.uncached)


@scorer("transfer")
def transfer(pool: Pool, asked: Reserve, option: Placement, at: float) -> float:
    """Return the seconds to transfer the KV cache over a link shared with other transfers."""
    if option.prefill is option.decode:
        return 0.0
    share = 1 + option.decode.transfers
    return share * option.decode.link_rate.seconds(option.decode.kv_bytes(asked.prompt_tokens))


@scorer("stall")
def stall(pool: Pool, asked: Reserve, option: Placement, at: float) -> float:
    """Return the cost of delaying the requests that the prefill engine decodes, in seconds."""
    seconds = option.prefill.prefill_rate.seconds(option.uncached)
    return STALL_COST * seconds * len(option.prefill.held)


@scorer("batch")
def batch(pool: Pool, asked: Reserve, option: Placement, at: float) -> float:
    """Return the seconds that the first outputs take in the decode engine's batch."""
    return FIRST_OUTPUTS * option.decode.interval.at(len(option.decode.held) + 1)


EngineFilter = typing.Callable[[str], bool]


def place(
    pool: Pool,
    asked: Reserve,
    *,
    scorers: typing.Iterable[str],
    usable: EngineFilter,
    rng: random.Random,
    at: float,
) -> Placement | None:
    """Choose the engines for a request.

    Args:
        pool: The pool's ledgers.
        asked: The request for a slot.
        scorers: Names of the scorers to add up.
        usable: Returns whether an endpoint may get work.
        rng: Source of the random sample of a large pool.
        at: Monotonic time.

    Returns:
        The best placement, or None while no slot, link share or prefill engine is free.
    """
    open_engines = list(pool.totals.engines_with_slots.values())
    decodes = [
        engine for engine in _sample(open_engines, rng) if _may_decode(engine, asked, usable)
    ]
    if not decodes:
        return None
    prefills = [
        engine
        for engine in _sample(pool.engine_list, rng)
        if _may_prefill(pool, engine, asked, usable, at)
    ]
    functions = tuple(SCORERS[name] for name in scorers)
    ranked = [
        (_prefill_seconds(pool, asked, engine, functions, at), engine.name, engine)
        for engine in prefills
    ]
    best_prefill = min(ranked)[2] if ranked else None
    options = []
    for decode in decodes:
        if (
            best_prefill
            and best_prefill is not decode
            and decode.transfers < MAX_TRANSFERS_PER_LINK
        ):
            options.append(_scored_placement(pool, asked, best_prefill, decode, functions, at))
        if decode in prefills:
            options.append(_scored_placement(pool, asked, decode, decode, functions, at))
    best_option = min(
        options, key=lambda option: (option.seconds, option.decode.name), default=None
    )
    if best_option:
        parts = (prefill_queue, prefill_work, transfer)
        best_option.ready = sum(part(pool, asked, best_option, at) for part in parts)
    return best_option


def _sample(engines: list[EngineLedger], rng: random.Random) -> list[EngineLedger]:
    return engines if len(engines) <= MAX_CANDIDATES else rng.sample(engines, MAX_CANDIDATES)


def _may_decode(engine: EngineLedger, asked: Reserve, usable: EngineFilter) -> bool:
    return engine.name not in asked.avoid and usable(engine.name)


def _may_prefill(
    pool: Pool, engine: EngineLedger, asked: Reserve, usable: EngineFilter, at: float
) -> bool:
    if not engine.has_role("prefill") or engine.name in asked.avoid:
        return False
    if engine.prefill_count and engine.prefill_wait(at) > MAX_PREFILL_AHEAD_S:
        return False
    uncached = max(1, asked.prompt_tokens - expected_cached(pool, asked, engine))
    seconds = engine.prefill_rate.seconds(uncached)
    return usable(engine.name) and engine.can_interleave_prefill(at, seconds, pool.target)


def expected_cached(pool: Pool, asked: Reserve, engine: EngineLedger) -> int:
    """Return how many tokens of a prompt an engine is expected to have cached."""
    tokens, trust = engine.prefixes.longest_match(asked.pieces)
    if not tokens:
        return 0
    if tokens >= hashed_tokens(asked):
        # The hashes cover only the start of a long prompt; how much of its rest is cached is
        # predicted from earlier prompts.
        tokens += int(pool.cached_beyond.value * max(0, asked.prompt_tokens - tokens))
    return int(trust * min(tokens, asked.prompt_tokens))


def prefill_cost(pool: Pool, asked: Reserve, *, known: bool | None = None) -> float:
    """Return the weighted prefill time of a request, in seconds.

    Args:
        pool: This host's pool; engines of another zone are assumed to be as fast.
        asked: The request.
        known: None for this pool; for another pool, whether it served the same prefix before.
    """
    engines = pool.engine_list[:MAX_CANDIDATES]
    if not engines:
        return 0.0
    if known is None:
        cached = max(expected_cached(pool, asked, engine) for engine in engines)
    else:
        cached = int(pool.cached_beyond.value * asked.prompt_tokens) if known else 0
    rate = max(engine.prefill_rate.per_second for engine in engines)
    return REPEATED_PREFILL_WEIGHT * (asked.prompt_tokens - cached) / rate


def hashed_tokens(asked: Reserve) -> int:
    """Return the length of the prefix that a request's longest hash covers, in tokens."""
    return PREFIX_LENGTHS[len(asked.pieces) - 1] * PIECE_TOKENS if asked.pieces else 0


def _prefill_seconds(
    pool: Pool, asked: Reserve, engine: EngineLedger, functions: tuple[Scorer, ...], at: float
) -> float:
    # The engine is scored as if it decoded too. This leaves out the transfer, which depends on
    # the decode engine.
    return _scored_placement(pool, asked, engine, engine, functions, at).seconds


def _scored_placement(
    pool: Pool,
    asked: Reserve,
    prefill: EngineLedger,
    decode: EngineLedger,
    functions: tuple[Scorer, ...],
    at: float,
) -> Placement:
    cached = expected_cached(pool, asked, prefill)
    option = Placement(prefill=prefill, decode=decode, cached=cached, tokens=asked.prompt_tokens)
    option.seconds = sum(function(pool, asked, option, at) for function in functions)
    return option
