"""Simulated deployments: their zones, engines, customers and generated requests."""

import random
import typing

import msgspec

from .._pieces import MAX_PIECES, PIECE_TOKENS
from .engine_model import EngineTraits, Segment

# Limits of a plan that are so high that only the engines' capacity limits requests.
WIDE_LIMITS = {"rate": 1e4, "burst": 1e4, "concurrency": 100_000, "tokens_per_minute": 1e9}
ARRIVAL_WINDOW_S = 30.0  # Time from the callers' start in which requests arrive.
RECENT_THREADS = 150  # Number of the newest threads that can get follow-ups.
WARM_UP_S = 10.0  # Length of the first part of the arrival window, which is not measured.


class Ask:
    """One simulated request.

    ``at`` is its arrival in seconds after callers start. ``tokens`` is the length of the prompt and
    ``output`` that of the answer, both in tokens.
    """

    __slots__ = ("request_id", "at", "customer", "segments", "tokens", "output", "may_wait")

    def __init__(
        self,
        *,
        request_id: str,
        at: float,
        customer: str,
        segments: tuple[Segment, ...],
        output: int,
        may_wait: bool,
    ) -> None:
        self.request_id = request_id
        self.at = at
        self.customer = customer
        self.segments = segments
        self.tokens = sum(one.tokens for one in segments)
        self.output = output
        self.may_wait = may_wait

    def pieces(self) -> tuple[int, ...]:
        """Return the hashes of the prompt's prefixes, or 0 at lengths not in `PREFIX_LENGTHS`."""
        hashes = [0] * min(MAX_PIECES, self.tokens // PIECE_TOKENS)
        for one in self.segments:
            for piece in one.pieces():
                length = piece % 128
                if length <= len(hashes):
                    hashes[length - 1] = piece
        return tuple(hashes)


class Deployment:
    """One deployment's zones, engines, customers and workload.

    Args:
        model: Name of the model.
        zones: Availability zones.
        decode: Number of engines of each zone that decode and prefill.
        prefill: Number of engines of each zone that only prefill.
        customers: Number of customers; earlier ones send more requests.
        may_wait: Share of the customers whose plan lets requests wait, 0 to 1.
        requests: Generates the requests, given the deployment, a random generator and the rate
            per second.
        limits: Limits of each plan. By default they are so high that only the engines' capacity
            limits requests.
    """

    __slots__ = (
        "model",
        "zones",
        "decode",
        "prefill",
        "customers",
        "may_wait",
        "requests",
        "limits",
    )

    def __init__(
        self,
        *,
        model: str,
        zones: tuple[str, ...],
        decode: tuple[int, ...],
        prefill: tuple[int, ...],
        customers: int,
        may_wait: float,
        requests: typing.Callable[["Deployment", random.Random, float], list[Ask]],
        limits: dict[str, float] | None = None,
    ) -> None:
        self.model = model
        self.zones = zones
        self.decode = decode
        self.prefill = prefill
        self.customers = tuple(f"customer-{number:02d}" for number in range(customers))
        self.may_wait = may_wait
        self.requests = requests
        self.limits = limits or WIDE_LIMITS

    def engines(self) -> list[tuple[str, str, EngineTraits]]:
        """Return the name, zone and traits of each engine."""
        named_engines = []
        for zone, decode, prefill in zip(self.zones, self.decode, self.prefill, strict=True):
            roles = [("prefill",)] * prefill + [("prefill", "decode")] * decode
            for one in roles:
                name = f"{self.model}-{len(named_engines) + 1}"
                named_engines.append((name, zone, EngineTraits(roles=one)))
        return named_engines

    def plan_may_wait(self, customer: str) -> bool:
        """Tell whether a customer's plan lets requests wait."""
        waiting_plan_period = round(1 / self.may_wait) if self.may_wait else 0
        return (
            bool(waiting_plan_period)
            and self.customers.index(customer) % waiting_plan_period == waiting_plan_period - 1
        )

    def configuration_texts(self) -> tuple[str, str]:
        """Return the customers' plans and keys, and what plans allow, as JSON texts."""
        plans = {
            name: {"plan": "waiting" if self.plan_may_wait(name) else "prompt", "keys": [name]}
            for name in self.customers
        }
        limits = {"models": [self.model], **self.limits}
        allowances = {
            "plans": {"prompt": limits, "waiting": {**limits, "may_wait": True}},
            "services": {},
            "models": {self.model: {}},
        }
        return msgspec.json.encode(plans).decode(), msgspec.json.encode(allowances).decode()


DEPLOYMENTS: dict[str, Deployment] = {}


def _pick_customer(deployment: Deployment, rng: random.Random) -> str:
    count = len(deployment.customers)
    return deployment.customers[min(count - 1, int(rng.paretovariate(0.9)) - 1)]


def _segments(parts: list[tuple[int, int]]) -> tuple[Segment, ...]:
    segments = []
    start = 0
    for prefix, tokens in parts:
        segments.append(Segment(prefix=prefix, tokens=tokens, start=start))
        start += tokens
    return tuple(segments)


def _study_guides(deployment: Deployment, rng: random.Random, rate: float) -> list[Ask]:
    """Generate requests for study guides.

    A prompt consists of a part that all prompts share, the customer's template, and notes that only
    this prompt has. A third of the requests comes in bursts, because many study guides are due at
    the same time.
    """
    simulated_requests = []
    at = 0.0
    number = 0
    while at < ARRIVAL_WINDOW_S:
        at += rng.expovariate(rate * 0.75)
        burst = int(rng.expovariate(1 / 8)) + 1 if rng.random() < 1 / 24 else 1
        for _ in range(burst):
            number += 1
            customer = _pick_customer(deployment, rng)
            template = 1_000 + deployment.customers.index(customer)
            parts = [
                (1, 256),
                (template, 512),
                (100_000 + number, int(rng.lognormvariate(6.7, 0.5))),
            ]
            simulated_requests.append(
                Ask(
                    request_id=f"r{number}",
                    at=at + rng.random() * 0.5,
                    customer=customer,
                    segments=_segments(parts),
                    output=max(16, min(600, int(rng.lognormvariate(4.9, 0.5)))),
                    may_wait=deployment.plan_may_wait(customer),
                )
            )
    return sorted(
        (one for one in simulated_requests if one.at < ARRIVAL_WINDOW_S), key=lambda one: one.at
    )


def _follow_ups(deployment: Deployment, rng: random.Random, rate: float) -> list[Ask]:
    """Generate requests for quotes and follow-ups; each follow-up adds to its thread's prompt."""
    simulated_requests = []
    at = 0.0
    number = 0
    threads: list[tuple[str, list[tuple[int, int]]]] = []
    while at < ARRIVAL_WINDOW_S:
        at += rng.expovariate(rate)
        number += 1
        if threads and rng.random() < 0.7:
            customer, parts = threads[
                rng.randrange(max(0, len(threads) - RECENT_THREADS), len(threads))
            ]
            parts.append((100_000 + number, int(rng.lognormvariate(5.3, 0.5))))
        else:
            customer = _pick_customer(deployment, rng)
            template = 1_000 + deployment.customers.index(customer)
            parts = [(template, 640), (100_000 + number, int(rng.lognormvariate(8.2, 0.5)))]
            threads.append((customer, parts))
        simulated_requests.append(
            Ask(
                request_id=f"r{number}",
                at=at,
                customer=customer,
                segments=_segments(parts),
                output=max(16, min(400, int(rng.lognormvariate(4.7, 0.4)))),
                may_wait=deployment.plan_may_wait(customer),
            )
        )
    return [one for one in simulated_requests if one.at < ARRIVAL_WINDOW_S]


DEPLOYMENTS["sunday"] = Deployment(
    model="lectio-lm",
    zones=("tx-central-a", "tx-central-b", "tx-central-c"),
    decode=(2, 2, 2),
    prefill=(1, 1, 1),
    customers=40,
    may_wait=0.34,
    requests=_study_guides,
)
DEPLOYMENTS["counter_day"] = Deployment(
    model="redator",
    zones=("porto-a", "porto-b", "braga-a", "gaia-a"),
    decode=(2, 1, 1, 1),
    prefill=(1, 1, 1, 1),
    customers=30,
    may_wait=0.0,
    requests=_follow_ups,
)
