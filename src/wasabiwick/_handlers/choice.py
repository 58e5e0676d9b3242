"""Choice of the prefill and the decode engine for the request that gets the next slot.

A scorer predicts one part of the time to first output, or the harm done to other requests, in
seconds. The option with the least sum wins. Options are few: each decode candidate together with
the best prefill engine of the pool, and each decode candidate on its own.
"""

import random
import typing

from .._pieces import PIECE_TOKENS, PREFIX_LENGTHS
from .._wire import Reserve
from .engine_ledger import EngineLedger
from .ledger import FIRST_OUTPUTS, LINK_SHARE, PREFILL_AHEAD, Pool

MAX_CANDIDATES = 12  # Engines looked at for one role; larger pools are sampled.
PREFILL_WEIGHT = 3.0  # A prefill paid twice delays others too, not only its own request.
STALL_SHARE = 1.5  # Cost of delaying one running request by a second, in seconds.


class Placement:
    """A pair of engines, and what is expected of it.

    Args:
        prefill: Engine that prefills.
        decode: Engine that decodes; may be the same.
        cached: Tokens of the prompt that the prefill engine is expected to hold.
        uncached: The other tokens.
        seconds: Sum of the scores.
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
    """Return the time until the engine has done the prefill work granted before."""
    return option.prefill.prefill_wait(at)


@scorer("prefill_work")
def prefill_work(pool: Pool, asked: Reserve, option: Placement, at: float) -> float:
    """Return the time to prefill the tokens that the engine does not hold."""
    return option.prefill.prefill_rate.seconds(option.uncached)


@scorer("transfer")
def transfer(pool: Pool, asked: Reserve, option: Placement, at: float) -> float:
    """Return the time to move the KV cache over the link that is shared with others."""
    if option.prefill is option.decode:
        return 0.0
    share = 1 + option.decode.transfers
    return share * option.decode.link_rate.seconds(option.decode.kv_bytes(asked.prompt_tokens))


@scorer("stall")
def stall(pool: Pool, asked: Reserve, option: Placement, at: float) -> float:
    """Return the harm that a prefill does to the requests which the same engine decodes."""
    seconds = option.prefill.prefill_rate.seconds(option.uncached)
    return STALL_SHARE * seconds * len(option.prefill.held)


@scorer("batch")
def batch(pool: Pool, asked: Reserve, option: Placement, at: float) -> float:
    """Return the time that the first outputs take in the engine's batch."""
    return FIRST_OUTPUTS * option.decode.interval.at(len(option.decode.held) + 1)


Usable = typing.Callable[[str], bool]


def place(
    pool: Pool,
    asked: Reserve,
    *,
    scorers: typing.Iterable[str],
    usable: Usable,
    rng: random.Random,
    at: float,
) -> Placement | None:
    """Choose the engines for a request.

    Args:
        pool: The pool's ledgers.
        asked: The request's reservation.
        scorers: Names of the scorers to add up.
        usable: Tells whether an endpoint may get work.
        rng: Picks the sample of a large pool.
        at: Monotonic time.

    Returns:
        The best placement, or None while no slot, link share or prefill engine is free.
    """
    open_engines = list(pool.totals.open.values())
    decodes = [one for one in _sample(open_engines, rng) if _may_decode(one, asked, usable)]
    if not decodes:
        return None
    prefills = [
        one for one in _sample(pool.listed, rng) if _may_prefill(pool, one, asked, usable, at)
    ]
    chosen = tuple(SCORERS[name] for name in scorers)
    ranked = [(_score_prefill(pool, asked, one, chosen, at), one.name, one) for one in prefills]
    best = min(ranked)[2] if ranked else None
    options = []
    for decode in decodes:
        if best and best is not decode and decode.transfers < LINK_SHARE:
            options.append(_option(pool, asked, best, decode, chosen, at))
        if decode in prefills:
            options.append(_option(pool, asked, decode, decode, chosen, at))
    chosen_one = min(options, key=lambda one: (one.seconds, one.decode.name), default=None)
    if chosen_one:
        parts = (prefill_queue, prefill_work, transfer)
        chosen_one.ready = sum(part(pool, asked, chosen_one, at) for part in parts)
    return chosen_one


def _sample(engines: list[EngineLedger], rng: random.Random) -> list[EngineLedger]:
    return engines if len(engines) <= MAX_CANDIDATES else rng.sample(engines, MAX_CANDIDATES)


def _may_decode(one: EngineLedger, asked: Reserve, usable: Usable) -> bool:
    return one.name not in asked.avoid and usable(one.name)


def _may_prefill(pool: Pool, one: EngineLedger, asked: Reserve, usable: Usable, at: float) -> bool:
    if not one.can("prefill") or one.name in asked.avoid:
        return False
    if one.prefill_count and one.prefill_wait(at) > PREFILL_AHEAD:
        return False
    uncached = max(1, asked.prompt_tokens - expected_cached(pool, asked, one))
    seconds = one.prefill_rate.seconds(uncached)
    return usable(one.name) and one.can_interleave_prefill(at, seconds, pool.target)


def expected_cached(pool: Pool, asked: Reserve, one: EngineLedger) -> int:
    """Return how many tokens of a prompt an engine is expected to hold."""
    tokens, trust = one.prefixes.matched(asked.pieces)
    if not tokens:
        return 0
    if tokens >= ladder_tokens(asked):
        # The ladder ends before the prompt does; what lies beyond is known from experience.
        tokens += int(pool.beyond.value * max(0, asked.prompt_tokens - tokens))
    return int(trust * min(tokens, asked.prompt_tokens))


def prefill_cost(pool: Pool, asked: Reserve, *, known: bool | None = None) -> float:
    """Return the weighted prefill time of a request, in seconds.

    Args:
        pool: The pool that was asked.
        asked: The request.
        known: None for this pool; for another one, whether it served the same prefix before.
    """
    engines = pool.listed[:MAX_CANDIDATES]
    if not engines:
        return 0.0
    if known is None:
        cached = max(expected_cached(pool, asked, one) for one in engines)
    else:
        cached = int(pool.beyond.value * asked.prompt_tokens) if known else 0
    rate = max(one.prefill_rate.per_second for one in engines)
    return PREFILL_WEIGHT * (asked.prompt_tokens - cached) / rate


def ladder_tokens(asked: Reserve) -> int:
    """Return the length in tokens of the prefix that a request's ladder covers."""
    return PREFIX_LENGTHS[len(asked.pieces) - 1] * PIECE_TOKENS if asked.pieces else 0


def _score_prefill(
    pool: Pool, asked: Reserve, one: EngineLedger, chosen: tuple[Scorer, ...], at: float
) -> float:
    # Scored as if decoded there, so that the transfer is left out; it depends on the other side.
    return _option(pool, asked, one, one, chosen, at).seconds


def _option(
    pool: Pool,
    asked: Reserve,
    prefill: EngineLedger,
    decode: EngineLedger,
    chosen: tuple[Scorer, ...],
    at: float,
) -> Placement:
    cached = expected_cached(pool, asked, prefill)
    option = Placement(prefill=prefill, decode=decode, cached=cached, tokens=asked.prompt_tokens)
    option.seconds = sum(function(pool, asked, option, at) for function in chosen)
    return option
