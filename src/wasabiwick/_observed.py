"""What hosts measured of a service's generations, and its form in datagrams."""

import math
import typing

from ._record import Record

# Service, and the sums of `Observed` in the order of its fields.
ObservedRow = tuple[str, list[float]]


class Observed(Record):
    """Sums over a service's generations, in which older ones weigh less.

    Args:
        service: Name of the service.
        requests: Number of requests that arrived.
        prompt_tokens: Tokens of their prompts.
        output_tokens: Tokens of output that were expected of them.
        streamed_tokens: Tokens of streams that ended.
        streamed_seconds: Seconds from the first to the last event of these streams.
        prefills: Number of prefills that ran alone at their engine.
        prefill_tokens: Tokens of their prompts.
        prefill_seconds: Seconds that they took.
        prefill_tokens_squared: Sum of the squares of the prompts' tokens.
        prefill_products: Sum of tokens times seconds, by prefill.
    """

    __slots__ = (
        "service",
        "requests",
        "prompt_tokens",
        "output_tokens",
        "streamed_tokens",
        "streamed_seconds",
        "prefills",
        "prefill_tokens",
        "prefill_seconds",
        "prefill_tokens_squared",
        "prefill_products",
    )

    def __init__(
        self,
        *,
        service: str,
        requests: float = 0.0,
        prompt_tokens: float = 0.0,
        output_tokens: float = 0.0,
        streamed_tokens: float = 0.0,
        streamed_seconds: float = 0.0,
        prefills: float = 0.0,
        prefill_tokens: float = 0.0,
        prefill_seconds: float = 0.0,
        prefill_tokens_squared: float = 0.0,
        prefill_products: float = 0.0,
    ) -> None:
        self.service = service
        self.requests = requests
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.streamed_tokens = streamed_tokens
        self.streamed_seconds = streamed_seconds
        self.prefills = prefills
        self.prefill_tokens = prefill_tokens
        self.prefill_seconds = prefill_seconds
        self.prefill_tokens_squared = prefill_tokens_squared
        self.prefill_products = prefill_products

    def add(self, other: "Observed", factor: float = 1.0) -> None:
        """Add another's sums, each times a factor."""
        for name in SUMS:
            setattr(self, name, getattr(self, name) + factor * getattr(other, name))

    def scale(self, factor: float) -> None:
        """Multiply all sums."""
        for name in SUMS:
            setattr(self, name, factor * getattr(self, name))


SUMS = Observed._fields[1:]


def encode_observed(all_observed: typing.Iterable[Observed]) -> list[ObservedRow]:
    """Return sums as rows."""
    return [(one.service, [getattr(one, name) for name in SUMS]) for one in all_observed]


def decode_observed(rows: typing.Iterable[ObservedRow]) -> tuple[Observed, ...]:
    """Return the sums of rows; a row with a number that no sum can be is left out."""
    return tuple(
        Observed(service=service, **dict(zip(SUMS, sums, strict=False)))
        for service, sums in rows
        if all(math.isfinite(one) and one >= 0.0 for one in sums)
    )
